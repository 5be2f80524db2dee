//! Parsing of INI text into sections that keep line numbers, so that each fault
//! is reported with its file, line, section and key.

use derive_more::Display;
use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

/// One fault in an INI file.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{file}:{line}: [{section}] {key}: {problem}")]
pub struct IniFault {
    /// The file name as given by the operator.
    pub file: String,
    /// The line number, starting at 1.
    pub line: usize,
    /// The section's title, such as `server portal-1-a`.
    pub section: String,
    /// The key, or `-` if the fault concerns the whole section.
    pub key: String,
    /// The problem, and what is allowed instead.
    pub problem: String,
}

impl std::error::Error for IniFault {}

/// A key's value and its line number.
#[derive(Clone, Debug)]
struct IniValue {
    line: usize,
    text: String,
    used: bool,
}

/// One section. Values are read by key; keys that were never read are faults.
#[derive(Clone, Debug)]
pub struct IniSection {
    file: String,
    line: usize,
    title: String,
    values: BTreeMap<String, IniValue>,
}

/// The range of times in settings.
pub const TIMES: RangeInclusive<Duration> = Duration::ZERO..=Duration::from_secs(3_600);

/// Some editors write this mark before the first line.
const BYTE_ORDER_MARK: char = '\u{feff}';

/// Splits `text` into sections. Malformed lines and repeated sections and keys are
/// added to `faults`.
pub fn parse(file: &str, text: &str, faults: &mut Vec<IniFault>) -> Vec<IniSection> {
    let mut sections: Vec<IniSection> = Vec::new();
    let text = text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(text);
    let mut parser = ini_core::Parser::new(text).auto_trim(true);
    loop {
        let line = parser.line() as usize + 1;
        let Some(item) = parser.next() else {
            return sections;
        };
        match item {
            ini_core::Item::Section(title) => {
                let section = IniSection::new(file, line, title.trim());
                if let Some(first) = sections.iter().find(|other| other.title == section.title) {
                    let problem = format!("section is repeated, first at line {}", first.line);
                    faults.push(section.fault("-", line, &problem));
                }
                sections.push(section);
            }
            ini_core::Item::Property(key, value) => {
                let Some(section) = sections.last_mut() else {
                    let section = IniSection::new(file, line, "");
                    faults.push(section.fault(key, line, "key appears before the first section"));
                    continue;
                };
                section.add(line, key.trim(), value.unwrap_or_default().trim(), faults);
            }
            ini_core::Item::Error(text) => {
                let section = IniSection::new(file, line, "");
                let problem = format!("not a section, a key or a comment: {text}");
                faults.push(section.fault("-", line, &problem));
            }
            ini_core::Item::Comment(_) | ini_core::Item::Blank | ini_core::Item::SectionEnd => {}
        }
    }
}

/// Sets values in place of a file's, each given as `SECTION.KEY=VALUE`. An empty value
/// sets nothing. Malformed ones are added to `faults`.
pub fn set_values(sections: &mut Vec<IniSection>, settings: &[String], faults: &mut Vec<IniFault>) {
    const ORIGIN: &str = "command line";
    for (index, setting) in settings.iter().enumerate() {
        let line = index + 1;
        let Some(((title, key), value)) = setting
            .split_once('=')
            .and_then(|(name, value)| Some((name.split_once('.')?, value.trim())))
        else {
            let section = IniSection::new(ORIGIN, line, "");
            let problem = format!("`{setting}` is not SECTION.KEY=VALUE");
            faults.push(section.fault("-", line, &problem));
            continue;
        };
        if value.is_empty() {
            continue;
        }
        let known = sections.iter().position(|section| section.title == title);
        let section_index = known.unwrap_or_else(|| {
            sections.push(IniSection::new(ORIGIN, line, title));
            sections.len() - 1
        });
        let section = &mut sections[section_index];
        section.values.remove(key);
        section.add(line, key, value, faults);
    }
}

impl IniSection {
    fn new(file: &str, line: usize, title: &str) -> Self {
        Self {
            file: file.to_owned(),
            line,
            title: title.to_owned(),
            values: BTreeMap::new(),
        }
    }

    fn add(&mut self, line: usize, key: &str, text: &str, faults: &mut Vec<IniFault>) {
        if let Some(first) = self.values.get(key) {
            let problem = format!("key is repeated, first at line {}", first.line);
            faults.push(self.fault(key, line, &problem));
            return;
        }
        let value = IniValue {
            line,
            text: text.to_owned(),
            used: false,
        };
        self.values.insert(key.to_owned(), value);
    }

    /// The kind and the name in a title such as `server portal-1-a`.
    pub fn title(&self) -> (&str, &str) {
        match self.title.split_once(' ') {
            Some((kind, name)) => (kind, name.trim()),
            None => (&self.title, ""),
        }
    }

    /// Creates a fault in this section at `line`.
    fn fault(&self, key: &str, line: usize, problem: &str) -> IniFault {
        IniFault {
            file: self.file.clone(),
            line,
            section: self.title.clone(),
            key: key.to_owned(),
            problem: problem.to_owned(),
        }
    }

    /// Creates a fault at the line of `key`, or of the title if the key is missing.
    pub fn fault_at(&self, key: &str, problem: &str) -> IniFault {
        let line = self.values.get(key).map_or(self.line, |value| value.line);
        self.fault(key, line, problem)
    }

    /// Reads an optional value. `allowed` describes the valid values in a fault.
    pub fn optional<Value>(
        &mut self,
        key: &str,
        allowed: &str,
        faults: &mut Vec<IniFault>,
    ) -> Option<Value>
    where
        Value: FromStr,
    {
        let value = self.values.get_mut(key)?;
        value.used = true;
        let Ok(parsed) = value.text.parse() else {
            let problem = format!("`{}` is not allowed; allowed: {allowed}", value.text);
            faults.push(self.fault_at(key, &problem));
            return None;
        };
        Some(parsed)
    }

    /// Reads a required value.
    pub fn required<Value>(
        &mut self,
        key: &str,
        allowed: &str,
        faults: &mut Vec<IniFault>,
    ) -> Option<Value>
    where
        Value: FromStr,
    {
        if !self.values.contains_key(key) {
            let problem = format!("key is missing; allowed: {allowed}");
            faults.push(self.fault_at(key, &problem));
            return None;
        }
        self.optional(key, allowed, faults)
    }

    /// Reads an optional number that must be within `range`.
    pub fn number_within(
        &mut self,
        key: &str,
        range: RangeInclusive<f64>,
        faults: &mut Vec<IniFault>,
    ) -> Option<f64> {
        let allowed = format!("a number from {} to {}", range.start(), range.end());
        let number: f64 = self.optional(key, &allowed, faults)?;
        if range.contains(&number) {
            return Some(number);
        }
        let problem = format!("{number} is out of range; allowed: {allowed}");
        faults.push(self.fault_at(key, &problem));
        None
    }

    /// Reads an optional whole number that must be within `range`.
    pub fn count_within(
        &mut self,
        key: &str,
        range: RangeInclusive<u32>,
        faults: &mut Vec<IniFault>,
    ) -> Option<u32> {
        let limits = f64::from(*range.start())..=f64::from(*range.end());
        let number = self.number_within(key, limits, faults)?;
        if number.fract() == 0.0 {
            return Some(number as u32);
        }
        let problem = format!("`{number}` is not a whole number");
        faults.push(self.fault_at(key, &problem));
        None
    }

    /// Reads an optional duration within `range` from the key `NAME-ms` or `NAME-s`, in
    /// milliseconds or seconds, which may have a fraction.
    pub fn duration_within(
        &mut self,
        name: &str,
        range: RangeInclusive<Duration>,
        faults: &mut Vec<IniFault>,
    ) -> Option<Duration> {
        let units = [("ms", 1_000.0), ("s", 1.0)];
        let [milliseconds, seconds] = units.map(|(unit, per_second)| {
            let key = format!("{name}-{unit}");
            let limit = |duration: &Duration| duration.as_secs_f64() * per_second;
            let limits = limit(range.start())..=limit(range.end());
            let number = self.number_within(&key, limits, faults)?;
            Some(Duration::from_secs_f64(number / per_second))
        });
        if milliseconds.is_some() && seconds.is_some() {
            let problem = format!("`{name}-ms` is set too; only one of them is allowed");
            faults.push(self.fault_at(&format!("{name}-s"), &problem));
        }
        milliseconds.or(seconds)
    }

    /// Reads an optional switch, `on` or `off`.
    pub fn switch(&mut self, key: &str, faults: &mut Vec<IniFault>) -> Option<bool> {
        let text: String = self.optional(key, "on, off", faults)?;
        match text.as_str() {
            "on" => Some(true),
            "off" => Some(false),
            other => {
                let problem = format!("`{other}` is not allowed; allowed: on, off");
                faults.push(self.fault_at(key, &problem));
                None
            }
        }
    }

    /// Reads all keys and values, for sections whose keys are names chosen by operators.
    pub fn take_pairs(&mut self) -> Vec<(String, String)> {
        let pairs = self.values.iter_mut().map(|(key, value)| {
            value.used = true;
            (key.clone(), value.text.clone())
        });
        pairs.collect()
    }

    /// Adds a fault for each key that was not read; `allowed` lists the valid keys.
    pub fn finish(self, allowed: &str, faults: &mut Vec<IniFault>) {
        for (key, value) in &self.values {
            if value.used {
                continue;
            }
            let problem = format!("unknown key; allowed: {allowed}");
            faults.push(self.fault(key, value.line, &problem));
        }
    }
}
