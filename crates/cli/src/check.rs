//! `vetchkeel check`: is an operator file right?

use crate::Failed;
use std::path::Path;
use vetchkeel_lab::experiment::Experiment;

pub fn run(file: &Path, json: bool) -> Result<(), Failed> {
    let checked = Experiment::read(file);
    if json {
        let document = match &checked {
            Ok(e) => {
                serde_json::json!({ "file": file, "right": true, "experiment": e.name, "points": e.points.len() })
            }
            Err(w) => serde_json::json!({ "file": w.file, "right": false, "line": w.line, "column": w.column,
                "expected": w.expected, "found": w.found }),
        };
        crate::say(&format!("{document:#}\n"));
    }
    let experiment = checked.map_err(|w| Failed::Input(w.to_string()))?;
    if !json {
        let (points, seeds) = (experiment.points.len(), experiment.seeds.len());
        crate::say(&format!(
            "{}: right, experiment {} with {points} points of {seeds} runs\n",
            file.display(),
            experiment.name
        ));
    }
    Ok(())
}
