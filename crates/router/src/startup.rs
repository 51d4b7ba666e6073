//! The environment and the configuration, read at the start and at each reload.

use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use vetchkeel::SettingValues;
use vetchkeel_discovery::{MemberList, list_from_json};

pub struct Start {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    /// Maximum number of file descriptors of this process.
    pub sockets: usize,
    /// Memory limit in bytes.
    pub memory: usize,
    pub settings: SettingValues,
    /// The member list that this router had most recently.
    pub known: Option<MemberList>,
    /// Configuration fields, as in the file, that take effect at a start only.
    pub startup_only: BTreeMap<&'static str, Value>,
}

/// Reads the environment and the file that it names. The error is one line that names what was expected.
pub fn read() -> Result<Start, String> {
    let path = std::env::var("NODE_CONFIG").map_err(|_| "expected the path of a JSON file in NODE_CONFIG")?;
    let text = std::fs::read_to_string(&path)
        .map_err(|e| format!("expected a JSON file at {path} (NODE_CONFIG): {e}"))?;
    start(&text, |name| std::env::var(name).ok()).map_err(|why| format!("{path}: {why}"))
}

fn start(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Start, String> {
    let config: Value = serde_json::from_str(text).map_err(|e| format!("expected JSON: {e}"))?;
    let text = |name: &str, variable_name: &str| {
        config[name].as_str().map(str::to_owned).or_else(|| variable(variable_name))
    };
    let address = |name: &str, variable_name: &str| {
        let found = text(name, variable_name).unwrap_or_default();
        found.parse().map_err(|_| format!("expected an address and port for '{name}', found '{found}'"))
    };
    let settings = config["settings"].as_object().ok_or("expected an object under 'settings'")?;
    let settings = vetchkeel_settings::flatten_settings(settings);
    vetchkeel_settings::check_client_names(&settings)?;
    let seed = match &config["seed"] {
        Value::String(s) => {
            u64::from_str_radix(s, 16).map_err(|_| format!("expected a hex 'seed', found '{s}'"))?
        }
        other => other.as_u64().ok_or("expected a 'seed'")?,
    };
    let known = match &config["known"] {
        Value::Null => None,
        list => Some(list_from_json(list).map_err(|why| format!("expected a list under 'known': {why}"))?),
    };
    let startup_only = ["name", "listen", "limits"].into_iter().map(|n| (n, config[n].clone())).collect();
    Ok(Start {
        startup_only,
        name: text("name", "NODE_NAME").unwrap_or_else(|| "router".to_owned()),
        listen: address("listen", "NODE_LISTEN")?,
        discovery: address("discovery", "NODE_DISCOVERY")?,
        seed,
        sockets: config["limits"]["sockets"].as_u64().unwrap_or(1024) as usize,
        memory: config["limits"]["memory_mb"].as_u64().unwrap_or(192) as usize * 1024 * 1024,
        settings,
        known,
    })
}

#[cfg(test)]
mod tests;
