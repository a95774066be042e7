//! The searches find what is broken, by the shortest way, and end where there is no more.

use copperfield_model_checker::{ModelState, Successors, explore, replay, walk};

/// Counts up by one or two, to `end` at most; broken at `forbidden`.
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
fn exploration_returns_the_shortest_history_that_breaks_the_property() {
    let found = explore(Counter::to(9).forbidding(5), 100);
    assert_eq!(found, Err(vec!["one", "two", "two"]));
}

#[test]
fn exploration_of_a_finite_world_ends() {
    assert_eq!(explore(Counter::to(9), 100), Ok(usize::MAX));
}

#[test]
fn exploration_stops_at_its_number_of_states_and_returns_the_depth() {
    // The worlds 0 to 4 are seen when those one step deep have been explored.
    assert_eq!(explore(Counter::to(9), 4), Ok(2));
}

#[test]
fn walks_end_where_no_step_is_left_or_at_their_limit() {
    let taken = walk(&Counter::to(2), 50, 10).expect("nothing is forbidden");
    assert!((50..=100).contains(&taken), "{taken} steps");
    assert_eq!(walk(&Counter::to(1000), 50, 10), Ok(500));
}

#[test]
fn walks_find_what_is_broken_and_repeat_it() {
    let world = Counter::to(9).forbidding(5);
    let found = walk(&world, 100, 10).expect_err("most walks pass there");
    assert!(replay(world.clone(), &found).violates_property());
    assert_eq!(walk(&world, 100, 10), Err(found));
}

#[test]
#[should_panic(expected = "two cannot happen here")]
fn a_history_with_an_impossible_step_is_refused() {
    replay(Counter::to(2), &["one", "two"]);
}
