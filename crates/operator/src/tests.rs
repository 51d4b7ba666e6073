use super::*;
use rstest::rstest;

const FILE: &str = "top = 3\n\nload \"main\" {\n  rate = 2.5\n  wait = \"250ms\"\n  work = lognormal(\"20ms\", 0.8)\n  on = true\n}\n";

fn check_file(text: &str, read: impl Fn(&Section<'_>) -> Result<(), FileError>) -> Result<(), FileError> {
    let file = OperatorFile::parse("f.hcl", text)?;
    let root = file.root();
    read(&root)?;
    root.done()
}

fn load(root: &Section<'_>) -> Result<(), FileError> {
    root.whole("top", 0, 0..=10)?;
    for block in root.blocks("load")? {
        block.section.number("rate", 0.0, 0.0..=10.0)?;
        block.section.time("wait", 0, 0..=1_000_000)?;
        block.section.flag("on", false)?;
        block.section.value("work");
        block.section.done()?;
    }
    Ok(())
}

#[rstest]
#[case::valid(FILE, None)]
#[case::invalid_hcl("a = [1,\n", Some("f.hcl:"))]
#[case::out_of_range(
    "load {\n  rate = -2\n}\n",
    Some("f.hcl:2:10: expected a number from 0 to 10 for load.rate, found -2")
)]
#[case::number_for_time(
    "load {\n  wait = 250\n}\n",
    Some("f.hcl:2:10: expected a time such as \"250ms\" from 0s to 1s for load.wait, found 250")
)]
#[case::no_unit("load {\n  wait = \"250\"\n}\n", Some("f.hcl:2:10: expected a time"))]
#[case::unknown_name(
    "load {\n  rat = 2\n}\n",
    Some("f.hcl:2:3: expected one of on, rate, wait, work in load, found rat")
)]
#[case::unknown_block("top = 1\nlod {}\n", Some("f.hcl:2:1: expected one of load, top, found lod"))]
#[case::duplicate_block("load {}\nload {}\n", Some("f.hcl:2:1: expected load once"))]
#[case::fractional_integer(
    "top = 1.5\n",
    Some("f.hcl:1:7: expected a whole number from 0 to 10 for top, found 1.5")
)]
fn errors_give_position_and_expected_value(#[case] text: &str, #[case] error: Option<&str>) {
    let found = check_file(text, load).err().map(|e| e.to_string());
    match (found, error) {
        (Some(found), Some(error)) => assert!(found.starts_with(error), "{found}"),
        (found, error) => assert_eq!(found.as_deref(), error),
    }
}

#[rstest]
#[case::microseconds("100us", Some(100))]
#[case::milliseconds("1.5ms", Some(1_500))]
#[case::seconds("5s", Some(5_000_000))]
#[case::minutes("2min", Some(120_000_000))]
#[case::no_unit("5", None)]
#[case::missing_number("s", None)]
#[case::too_large("1e300s", None)]
fn times_are_parsed_by_unit(#[case] text: &str, #[case] micros: Option<i64>) {
    assert_eq!(micros_of(text), micros);
}

#[rstest]
#[case::replaces("load.main.rate", Ok(7.0), 0)]
#[case::unknown_path("load.other.rate", Ok(2.5), 1)]
fn overrides_replace_values_and_report_unknown_paths(
    #[case] path: &str,
    #[case] rate: Result<f64, FileError>,
    #[case] unused: usize,
) {
    let file = OperatorFile::parse("f.hcl", FILE).expect("readable");
    let other = OperatorFile::parse("g.hcl", "v = 7").expect("readable");
    let other_root = other.root();
    let overridden = file.with(&[(path.to_owned(), other_root.require("v").expect("there"))]);
    let root = overridden.root();
    let block = &root.blocks("load").expect("one")[0];
    assert_eq!((block.section.number("rate", 0.0, 0.0..=10.0), overridden.unused().len()), (rate, unused));
}

#[rstest]
fn calls_have_a_name_and_arguments() {
    let file = OperatorFile::parse("f.hcl", FILE).expect("readable");
    let root = file.root();
    let work = root.blocks("load").expect("one")[0].section.require("work").expect("there");
    let (name, arguments) = work.call().expect("a call");
    let time = arguments[0].time(0..=1_000_000);
    assert_eq!((name, time, arguments[1].number(0.0..=1.0)), ("lognormal", Ok(20_000), Ok(0.8)));
}

#[rstest]
fn missing_values_are_named() {
    let why = check_file("load {\n}\n", |root| root.blocks("load")?[0].section.require("rate").map(|_| ()));
    assert_eq!(why.unwrap_err().to_string(), "f.hcl:1:1: expected a value for load.rate, found none");
}
