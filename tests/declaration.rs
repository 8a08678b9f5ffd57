//! Declarations as operators write them.

use fireflygauge::declaration::Declaration;
use test_case::test_case;

#[test_case(include_str!("../examples/mittelland.toml"); "mittelland")]
#[test_case(include_str!("../examples/ma-west.toml"); "ma_west")]
fn example_is_valid(text: &str) {
    let declaration = Declaration::parse(text).expect("the example is valid");
    assert_eq!(declaration.services.len(), 3);
    assert_eq!(declaration.presets.len(), 3);
}
