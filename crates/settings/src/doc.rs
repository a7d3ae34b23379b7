//! An INI document whose values know their lines, and that gathers faults until all of it has been read.

use crate::values::Value;
use ini::{Ini, ParseOption};
use std::fmt;

/// Something wrong in a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// The file.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The section with its name, as written.
    pub section: String,
    /// The key; empty if the section as a whole is meant.
    pub key: String,
    /// What was found and what was expected.
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.what)
    }
}

struct Entry {
    key: String,
    value: String,
    line: usize,
    used: bool,
}

/// A section: its kind is the first word of its head, its name the rest.
pub struct Section {
    /// The first word.
    pub kind: String,
    /// The rest; empty if there is none.
    pub name: String,
    line: usize,
    /// The file that it stands in.
    file: String,
    entries: Vec<Entry>,
    used: bool,
}

impl Section {
    /// Its head, as written.
    pub fn head(&self) -> String {
        if self.name.is_empty() {
            self.kind.clone()
        } else {
            format!("{} {}", self.kind, self.name)
        }
    }
}

/// A document that is being read.
pub struct Doc {
    file: String,
    sections: Vec<Section>,
    faults: Vec<Fault>,
}

impl Doc {
    /// Reads a text as INI.
    ///
    /// # Errors
    /// The text is not INI.
    pub fn parse(text: &str, file: &str) -> Result<Doc, Vec<Fault>> {
        let options = ParseOption { enabled_escape: false, ..ParseOption::default() };
        let ini = Ini::load_from_str_opt(text, options).map_err(|e| {
            // The parser's own words name its inside; the line says more.
            let line = e.line.clamp(1, text.lines().count().max(1));
            let found = text.lines().nth(line - 1).unwrap_or_default().trim();
            let what = format!("{found:?}: expected [section], key = value, or a comment");
            vec![Fault { file: file.into(), line, section: String::new(), key: String::new(), what }]
        })?;
        let mut doc = Doc { file: file.into(), sections: Vec::new(), faults: Vec::new() };
        let mut lines = Lines::new(text);
        for (head, properties) in &ini {
            let Some(head) = head else {
                for (key, _) in properties {
                    let line = lines.key(key);
                    doc.faults.push(doc.fault_at(line, "", key, "stands before the first section".into()));
                }
                continue;
            };
            let line = lines.section(head);
            let (kind, name) = head.trim().split_once(char::is_whitespace).unwrap_or((head.trim(), ""));
            let mut section = Section {
                kind: kind.into(),
                name: name.trim().into(),
                line,
                file: file.into(),
                entries: Vec::new(),
                used: false,
            };
            for (key, value) in properties {
                let line = lines.key(key);
                if section.entries.iter().any(|e| e.key == key) {
                    doc.faults.push(doc.fault_at(line, head, key, "is given twice".into()));
                }
                section.entries.push(Entry {
                    key: key.into(),
                    value: value.trim().into(),
                    line,
                    used: false,
                });
            }
            if let Some(first) =
                doc.sections.iter().find(|s| s.kind == section.kind && s.name == section.name)
            {
                let what = format!("this section stands at line {} already", first.line);
                doc.faults.push(doc.fault_at(line, head, "", what));
            }
            doc.sections.push(section);
        }
        Ok(doc)
    }

    fn fault_at(&self, line: usize, section: &str, key: &str, what: String) -> Fault {
        Fault { file: self.file.clone(), line, section: section.into(), key: key.into(), what }
    }

    /// Sections of these kinds alone, of another document, in place of those that stand here.
    pub fn put(&mut self, kinds: &[&str], other: Doc) {
        self.sections.retain(|s| !kinds.contains(&s.kind.as_str()));
        self.sections.extend(other.sections.into_iter().filter(|s| kinds.contains(&s.kind.as_str())));
        self.faults.extend(other.faults);
    }

    /// Leaves out all sections but those of these kinds; gives the keys that were left out, by section.
    pub fn only(&mut self, kinds: &[&str]) -> Vec<String> {
        let ours = |s: &Section| kinds.contains(&s.kind.as_str());
        let left = self.sections.iter().filter(|s| !ours(s));
        let named = left.flat_map(|s| s.entries.iter().map(move |e| format!("[{}] {}", s.head(), e.key)));
        let named = named.collect();
        self.sections.retain(ours);
        named
    }

    /// The sections of these kinds in one form, whatever the order and the spaces in which they were written:
    /// the same settings, the same text.
    pub fn canonical(&self, kinds: &[&str]) -> String {
        let mut sections: Vec<&Section> =
            self.sections.iter().filter(|s| kinds.contains(&s.kind.as_str())).collect();
        // Classes keep their order: a request that names none takes that of its model, and tables list them
        // so.
        sections.sort_by_key(|s| kinds.iter().position(|k| *k == s.kind));
        let mut text = String::new();
        for section in sections.iter().filter(|s| !s.entries.is_empty()) {
            text += &format!("[{}]\n", section.head());
            let mut entries: Vec<&Entry> = section.entries.iter().collect();
            entries.sort_by(|a, b| a.key.cmp(&b.key));
            entries.iter().for_each(|e| text += &format!("{} = {}\n", e.key, e.value));
        }
        text
    }

    /// Every key with its value, by section.
    pub fn facts(&self) -> Vec<(String, String, String)> {
        let all = self.sections.iter();
        all.flat_map(|s| s.entries.iter().map(move |e| (s.head(), e.key.clone(), e.value.clone()))).collect()
    }

    /// The sections of a kind, by position.
    pub fn all(&mut self, kind: &str) -> Vec<usize> {
        let matches = |(at, s): (usize, &mut Section)| {
            (s.kind == kind).then(|| {
                s.used = true;
                at
            })
        };
        self.sections.iter_mut().enumerate().filter_map(matches).collect()
    }

    /// Leaves sections of a kind to another reader: nothing in them is a fault here.
    pub fn skip(&mut self, kind: &str) {
        for section in self.sections.iter_mut().filter(|s| s.kind == kind) {
            section.used = true;
            section.entries.iter_mut().for_each(|e| e.used = true);
        }
    }

    /// The only section of a kind, if it is there.
    pub fn one(&mut self, kind: &str) -> Option<usize> {
        let all = self.all(kind);
        if let [_, second, ..] = all[..] {
            self.add_fault(second, "", "expected only one section of this kind");
        }
        all.first().copied()
    }

    /// The section at a position.
    pub fn section(&self, at: usize) -> &Section {
        &self.sections[at]
    }

    /// Reports a fault at a key of a section, or at the section if the key is empty or absent.
    pub fn add_fault(&mut self, at: usize, key: &str, what: impl Into<String>) {
        let section = &self.sections[at];
        let line = section.entries.iter().find(|e| e.key == key).map_or(section.line, |e| e.line);
        let fault = self.fault_at(line, &section.head(), key, what.into());
        self.faults.push(Fault { file: section.file.clone(), ..fault });
    }

    /// Reports a fault of the file as a whole.
    pub fn add_file_fault(&mut self, what: impl Into<String>) {
        let fault = self.fault_at(1, "", "", what.into());
        self.faults.push(fault);
    }

    /// The text of a key, if it is given.
    pub fn text(&mut self, at: usize, key: &str) -> Option<String> {
        let entry = self.sections[at].entries.iter_mut().find(|e| e.key == key)?;
        entry.used = true;
        Some(entry.value.clone())
    }

    /// A value, if its key is given. One that can't be read is a fault and counts as not given.
    pub fn get<T: Value>(&mut self, at: usize, key: &str) -> Option<T> {
        let text = self.text(at, key)?;
        match T::read(&text) {
            Ok(value) => Some(value),
            Err(expected) => {
                self.add_fault(at, key, format!("{text:?}: expected {expected}"));
                None
            }
        }
    }

    /// A value, or what stands for it. `at` is `None` where its section is not there at all.
    pub fn or<T: Value>(&mut self, at: Option<usize>, key: &str, default: T) -> T {
        at.and_then(|at| self.get(at, key)).unwrap_or(default)
    }

    /// A value that has to be there.
    pub fn need<T: Value>(&mut self, at: usize, key: &str) -> Option<T> {
        if !self.sections[at].entries.iter().any(|e| e.key == key) {
            self.add_fault(at, "", format!("{key}: expected {}", T::EXPECTED));
            return None;
        }
        self.get(at, key)
    }

    /// Whether a fault was found so far.
    pub fn has_faults(&self) -> bool {
        !self.faults.is_empty()
    }

    /// Ends the reading: what was not read is a fault too. `known` names the kinds of section there are.
    ///
    /// # Errors
    /// All faults, by line.
    pub fn finish(mut self, known: &[&str]) -> Result<(), Vec<Fault>> {
        for at in 0..self.sections.len() {
            let section = &self.sections[at];
            if !section.used {
                let near = nearest(&section.kind, known.iter().copied());
                self.add_fault(
                    at,
                    "",
                    format!("no such section{near}; expected one of {}", known.join(", ")),
                );
                continue;
            }
            let known: Vec<String> =
                section.entries.iter().filter(|e| e.used).map(|e| e.key.clone()).collect();
            let unread: Vec<String> =
                section.entries.iter().filter(|e| !e.used).map(|e| e.key.clone()).collect();
            for key in unread {
                let near = nearest(&key, known.iter().map(String::as_str));
                self.add_fault(at, &key, format!("no such key here{near}"));
            }
        }
        self.faults.sort();
        self.faults.dedup();
        if self.faults.is_empty() {
            Ok(())
        } else {
            Err(self.faults)
        }
    }
}

/// The known word that differs least, as a hint.
fn nearest<'a>(word: &str, known: impl Iterator<Item = &'a str>) -> String {
    let close = |k: &&str| distance(word, k) <= 2;
    known
        .filter(close)
        .min_by_key(|k| distance(word, k))
        .map(|k| format!(", perhaps {k}"))
        .unwrap_or_default()
}

/// Levenshtein's distance.
fn distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut before = std::mem::replace(&mut row[0], i + 1);
        for (j, y) in b.iter().enumerate() {
            let cost = before + usize::from(x != *y);
            let least = cost.min(row[j] + 1).min(row[j + 1] + 1);
            before = std::mem::replace(&mut row[j + 1], least);
        }
    }
    row[b.len()]
}

/// Finds the lines of sections and keys in the order in which the parser gives them.
struct Lines<'a> {
    lines: Vec<&'a str>,
    at: usize,
}

impl<'a> Lines<'a> {
    fn new(text: &'a str) -> Self {
        Lines { lines: text.lines().collect(), at: 0 }
    }

    fn find(&mut self, matches: impl Fn(&str) -> bool) -> usize {
        let found = (self.at..self.lines.len()).find(|&n| matches(self.lines[n].trim()));
        // The parser joins sections of one name: their keys then stand before.
        let found = found.or_else(|| (0..self.lines.len()).find(|&n| matches(self.lines[n].trim())));
        if let Some(n) = found {
            self.at = n + 1;
        }
        found.map_or(1, |n| n + 1)
    }

    fn section(&mut self, head: &str) -> usize {
        self.find(|line| {
            line.strip_prefix('[').and_then(|l| l.strip_suffix(']')).is_some_and(|h| h.trim() == head.trim())
        })
    }

    fn key(&mut self, key: &str) -> usize {
        self.find(|line| line.split_once(['=', ':']).is_some_and(|(k, _)| k.trim() == key))
    }
}
