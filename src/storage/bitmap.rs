//! Bitmaps of done tasks, cut into chunks that fit a value of the state service.

use serde_json::{Value, json};

/// Tasks per chunk for a value limit: two hexadecimal digits hold eight tasks,
/// and a margin is left for the JSON around them.
pub fn tasks_per_chunk(value_bytes: usize) -> u32 {
    let digits = value_bytes.saturating_sub(64).clamp(64, 32 * 1024);
    (digits / 2 * 8) as u32
}

pub fn to_record(bits: &[u8]) -> Value {
    let mut hex = String::with_capacity(bits.len() * 2);
    for byte in bits {
        hex.push_str(&format!("{byte:02x}"));
    }
    json!({ "done": hex })
}

pub fn from_record(value: &Value) -> Option<Vec<u8>> {
    let hex = value.get("done")?.as_str()?;
    if hex.len() % 2 != 0 || !hex.is_ascii() {
        return None;
    }
    (0..hex.len() / 2)
        .map(|i| u8::from_str_radix(&hex[2 * i..2 * i + 2], 16).ok())
        .collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn chunks_fit_the_value_limit_and_read_back() {
        for value_bytes in [1024, 8 * 1024, 32 * 1024] {
            let tasks = tasks_per_chunk(value_bytes);
            let bits = vec![0xa5u8; tasks as usize / 8];
            let record = to_record(&bits);
            assert!(record.to_string().len() <= value_bytes);
            assert_eq!(from_record(&record), Some(bits));
        }
        assert_eq!(from_record(&json!({"done": "xyz"})), None);
    }
}
