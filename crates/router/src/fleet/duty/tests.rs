use super::*;
use rstest::rstest;
use std::sync::mpsc::channel;
use std::time::Duration;

#[rstest]
#[case::done(|| Ok(()), Ended::Done)]
#[case::failed(|| Err("no".to_owned()), Ended::Failed("no".into()))]
#[case::panicked(|| panic!("as planned"), Ended::Panicked)]
fn loop_is_woken_when_the_thread_has_ended(
    #[case] run: fn() -> Result<(), String>,
    #[case] ended: Ended,
) {
    let (woken, wake) = channel();
    let start = Outside::<u32, ()>::start(
        "duty",
        (2, 2),
        move || {
            let _ = woken.send(());
        },
        move |inside, _| {
            inside.told.push(7).map_err(|e| e.to_string())?;
            run()
        },
    );
    let mut outside = start.expect("a thread");
    wake.recv_timeout(Duration::from_secs(10)).expect("woken");
    assert_eq!((outside.next(), outside.ended()), (Some(7), Some(&ended)));
}

#[rstest]
fn hung_thread_is_detected_after_second_check_but_paused_process_is_not() {
    let mut watch = Watch::default();
    // The process was stopped for 10 s: the thread sends a heartbeat before the second check.
    let paused = [watch.look(20_000, 10_000), watch.look(20_900, 10_900), watch.look(21_000, 100)];
    assert_eq!((paused, watch.is_hung()), ([None; 3], false));
    let hung = [watch.look(31_000, 5_000), watch.look(32_000, 6_000), watch.look(33_000, 7_000)];
    assert_eq!((hung, watch.is_hung()), ([None, Some(Pulse::Hung(6_000)), None], true));
    assert_eq!([watch.look(34_000, 0), watch.look(35_000, 0)], [Some(Pulse::Back), None]);
}
