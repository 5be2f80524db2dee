//! What log lines say about requests that got no further, in words.

use crate::trace::TraceLine;

impl TraceLine {
    /// The status that the caller got and why, if the line is of a request that did not
    /// pass a check.
    pub fn meaning(&self) -> Option<String> {
        match self.value("event") {
            "request-key-refused" => Some(self.key_meaning()),
            "request-over-quota" => Some(self.quota_meaning()),
            "request-refused" => Some(refusal_meaning(self.value("reason")).to_owned()),
            "request-held" => Some("503: its content has crashed servers".to_owned()),
            _ => None,
        }
    }

    fn key_meaning(&self) -> String {
        let version = self.value("version");
        match self.value("cause") {
            "missing" => "401: the route needs a key, and the request has none".to_owned(),
            "malformed" => "401: the request has no readable key, or several".to_owned(),
            "unconfirmed" => format!(
                "503: version {version} was not confirmed for so long that the key may be revoked"
            ),
            _ => format!("401: no workspace of version {version} has the key"),
        }
    }

    fn quota_meaning(&self) -> String {
        let workspace = self.value("workspace");
        let retry_after = self.value("retry_after_ms");
        let decider = match self.value("decided_by") {
            "this-front" => "this front grants the quota",
            "other-front" => "the front that grants the quota was asked",
            _ => "no front that grants the quota was reached, and this front's part is used up",
        };
        format!("429: {workspace} has no credit for {retry_after} ms; {decider}")
    }

    fn value(&self, key: &str) -> &str {
        let pair = self.pairs.iter().find(|(name, _)| name == key);
        pair.map_or("", |(_, value)| value)
    }
}

fn refusal_meaning(reason: &str) -> &'static str {
    match reason {
        "no-configuration" => "503: the front has no configuration or servers yet",
        "no-room" => "503: its services have too little room, and others go first",
        "no-time" => "503: its services could not answer within its time limit",
        "stopping" => "503: the front stops before the request would end",
        _ => "503: the front refused the request before a server was called",
    }
}
