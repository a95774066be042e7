//! Bitmaps of done tasks: stored chunks must fit the value limit of the state service and read back
//! unchanged, and invalid records must be rejected.

use copperfield::storage::RecordError;
use copperfield::storage::bitmap::{TaskBitmap, tasks_per_chunk};
use serde_json::json;

#[test]
fn chunks_fit_the_value_limit_and_read_back() {
    for value_bytes in [1024, 8 * 1024, 32 * 1024] {
        let tasks = tasks_per_chunk(value_bytes);
        let bitmap = TaskBitmap::from_bytes(vec![0xa5u8; tasks as usize / 8]);
        let record = bitmap.to_record();
        assert!(record.to_string().len() <= value_bytes);
        assert_eq!(TaskBitmap::from_record(&record), Ok(bitmap));
    }
    assert_eq!(
        TaskBitmap::from_record(&json!({"done": "xyz"})),
        Err(RecordError::InvalidBitmap)
    );
}

#[test]
fn bitmap_contains_only_the_inserted_tasks_and_none_beyond_its_end() {
    let mut bitmap = TaskBitmap::new(10);
    bitmap.insert(0);
    bitmap.insert(9);
    let done: Vec<usize> = (0..40).filter(|&task| bitmap.contains(task)).collect();
    assert_eq!(done, [0, 9]);
    assert_eq!(bitmap.as_bytes(), [1, 2]);
}
