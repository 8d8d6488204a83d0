use state_chart::prelude::*;

#[test]
fn unknown_states_and_repeats_are_typed_errors() {
    let c = |t: &str| Chart::<u8, u8>::parse(t);
    assert!(matches!(c("{"), Err(ChartError::Unreadable { .. })));
    assert!(matches!(c(r#"{"initial": 0, "transitions": [[0, 1, 999]]}"#), Err(ChartError::Unreadable { .. })));
    assert!(matches!(c(r#"{"initial": 0, "transitions": [[0, 1, 2], [0, 1, 3]]}"#), Err(ChartError::Repeated { at: 1 })));
    assert_eq!(c(r#"{"initial": 0, "transitions": [[0, 1, 2]]}"#).unwrap().next(2, 1), None);
}
