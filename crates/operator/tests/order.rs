//! The order of the rows that a query returns.

use filbertwheel_core::Text;
use filbertwheel_operator::{Query, Sort, View};
use proptest::prelude::*;

/// Returns names that are numbers, parts of which are numbers, and none.
fn names() -> Vec<String> {
    let numbers = (0..300).map(|number| number.to_string());
    let mixed = (0..300).map(|number| format!("{number}a"));
    let negative = (0..100).map(|number| format!("-{number}"));
    let words = ["nan", "NaN", "inf", "1e3", "", "vm"].map(str::to_owned);
    numbers.chain(mixed).chain(negative).chain(words).collect()
}

fn sorted(names: &[String]) -> Vec<Vec<Text>> {
    let mut query = Query::all(View::Versions);
    query.sort = Some(Sort {
        column: "vm".into(),
        descending: false,
    });
    let rows = names.iter().map(|name| vec![Text::from(name.as_str())]);
    query.apply(rows.collect())
}

proptest! {
    // Guards against names that are partly numbers, which had no consistent order: sorting them may
    // panic and end the whole node.
    #[test]
    fn names_and_numbers_have_one_order(names in Just(names()).prop_shuffle()) {
        let again = sorted(&names).concat();
        let again: Vec<String> = again.iter().map(ToString::to_string).collect();
        prop_assert!(sorted(&names) == sorted(&again), "the order depends on the input");
    }
}
