use super::*;
use rstest::rstest;
use std::sync::mpsc::channel;
use std::time::Duration;

#[rstest]
#[case::done(|| Ok(()), ThreadExit::Done)]
#[case::failed(|| Err("no".to_owned()), ThreadExit::Failed("no".into()))]
#[case::panicked(|| panic!("as planned"), ThreadExit::Panicked)]
fn loop_is_woken_when_the_thread_has_ended(
    #[case] run: fn() -> Result<(), String>,
    #[case] ended: ThreadExit,
) {
    let (woken, wake) = channel();
    let start = LoopSide::<u32, ()>::start(
        "duty",
        (2, 2),
        move || {
            let _ = woken.send(());
        },
        move |thread_side, _| {
            thread_side.updates.push(7).map_err(|e| e.to_string())?;
            run()
        },
    );
    let mut loop_side = start.expect("a thread");
    wake.recv_timeout(Duration::from_secs(10)).expect("woken");
    assert_eq!((loop_side.next(), loop_side.ended()), (Some(7), Some(&ended)));
}

#[rstest]
fn hung_thread_is_detected_after_second_check_but_paused_process_is_not() {
    let mut watchdog = Watchdog::default();
    // The process was stopped for 10 s: the thread sends a heartbeat before the second check.
    let paused =
        [watchdog.check(20_000, 10_000), watchdog.check(20_900, 10_900), watchdog.check(21_000, 100)];
    assert_eq!((paused, watchdog.is_hung()), ([None; 3], false));
    let hung = [watchdog.check(31_000, 5_000), watchdog.check(32_000, 6_000), watchdog.check(33_000, 7_000)];
    assert_eq!((hung, watchdog.is_hung()), ([None, Some(HealthChange::Hung(6_000)), None], true));
    assert_eq!([watchdog.check(34_000, 0), watchdog.check(35_000, 0)], [Some(HealthChange::Resumed), None]);
}
