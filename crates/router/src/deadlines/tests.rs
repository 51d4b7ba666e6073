use super::*;
use rstest::rstest;

#[rstest]
fn reset_deadline_is_due_once_and_cleared_one_never() {
    let mut deadlines = Deadlines::default();
    deadlines.set(Due::Watch, 10);
    deadlines.set(Due::Stop, 5);
    deadlines.set(Due::Watch, 7);
    deadlines.clear(Due::Stop);
    assert_eq!(deadlines.first(), Some(7));
    assert_eq!((deadlines.take(6), deadlines.take(20), deadlines.take(20)), (None, Some(Due::Watch), None));
}
