//! Tests of both searches: they find states that violate the property, and they stop at their
//! limits and when no step is left. `explore` returns the shortest history.

use copperfield_model_checker::{ModelState, Successors, explore, replay, walk};

/// A counter that increases by one or two, up to `end`. The value `forbidden` violates the
/// property.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Counter {
    value: u32,
    end: u32,
    forbidden: Option<u32>,
}

impl Counter {
    fn to(end: u32) -> Self {
        Self {
            value: 0,
            end,
            forbidden: None,
        }
    }

    fn forbidding(self, value: u32) -> Self {
        Self {
            forbidden: Some(value),
            ..self
        }
    }

    fn add(&mut self, by: u32) -> bool {
        self.value += by;
        self.value <= self.end
    }
}

impl ModelState for Counter {
    fn successors(&self) -> Vec<(&'static str, Self)> {
        let mut successors = Successors::new(self);
        successors.add("one", |counter| counter.add(1));
        successors.add("two", |counter| counter.add(2));
        successors.into_vec()
    }

    fn violates_property(&self) -> bool {
        self.forbidden == Some(self.value)
    }
}

#[test]
fn exploration_returns_the_shortest_history_that_violates_the_property() {
    let found = explore(Counter::to(9).forbidding(5), 100);
    assert_eq!(found, Err(vec!["one", "two", "two"]));
}

#[test]
fn exploration_of_a_finite_system_ends() {
    assert_eq!(explore(Counter::to(9), 100), Ok(usize::MAX));
}

#[test]
fn exploration_stops_at_its_limit_of_states_and_returns_the_depth() {
    // The values 0 to 4 have been reached once the states at depth 1 are expanded.
    assert_eq!(explore(Counter::to(9), 4), Ok(2));
}

#[test]
fn walks_end_when_no_step_is_possible_or_at_their_limit() {
    let steps = walk(&Counter::to(2), 50, 10).expect("nothing is forbidden");
    assert!((50..=100).contains(&steps), "{steps} steps");
    assert_eq!(walk(&Counter::to(1000), 50, 10), Ok(500));
}

#[test]
fn walks_find_a_violation_and_are_repeatable() {
    let start = Counter::to(9).forbidding(5);
    let found = walk(&start, 100, 10).expect_err("most walks reach the forbidden value");
    assert!(replay(start.clone(), &found).violates_property());
    assert_eq!(walk(&start, 100, 10), Err(found));
}

#[test]
#[should_panic(expected = "step \"two\" is not possible here")]
fn replaying_an_impossible_step_panics() {
    replay(Counter::to(2), &["one", "two"]);
}
