//! An INI document whose entries know their lines, and which collects faults until it has been read
//! completely.

use crate::values::Value;
use ini::{Ini, ParseOption};
use std::fmt;

/// An error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// The file.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The section with its name, as written.
    pub section: String,
    /// The key; empty if the fault is that of the section as a whole.
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

/// A key with its value.
struct Entry {
    key: String,
    value: String,
    line: usize,
    /// Whether the value has been read.
    used: bool,
}

/// A section. The first word of its header is its kind, the rest its name.
pub struct Section {
    /// The first word of its header.
    pub kind: String,
    /// The rest of its header; empty if there is none.
    pub name: String,
    line: usize,
    /// The file that contains it.
    file: String,
    entries: Vec<Entry>,
    /// Whether the section has been read.
    used: bool,
}

impl Section {
    /// Its header, without the brackets.
    pub fn head(&self) -> String {
        if self.name.is_empty() {
            self.kind.clone()
        } else {
            format!("{} {}", self.kind, self.name)
        }
    }
}

/// An INI document that is being read.
pub struct Doc {
    file: String,
    sections: Vec<Section>,
    faults: Vec<Fault>,
}

impl Doc {
    /// Parses a text as INI. Duplicate sections and keys are recorded as faults.
    ///
    /// # Errors
    /// The text is not INI.
    pub fn parse(text: &str, file: &str) -> Result<Doc, Vec<Fault>> {
        let options = ParseOption { enabled_escape: false, ..ParseOption::default() };
        let ini = Ini::load_from_str_opt(text, options).map_err(|e| {
            // The parser's message is about its internals, so the line itself is shown.
            let line = e.line.clamp(1, text.lines().count().max(1));
            let found = text.lines().nth(line - 1).unwrap_or_default().trim();
            let what = format!("{found:?}: expected [section], key = value, or a comment");
            vec![Fault { file: file.into(), line, section: String::new(), key: String::new(), what }]
        })?;
        let mut doc = Doc { file: file.into(), sections: Vec::new(), faults: Vec::new() };
        let mut lines = LineFinder::new(text);
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

    /// Replaces the sections of these kinds by those of the same kinds in another document, and adds all faults
    /// of that document.
    pub fn replace_sections(&mut self, kinds: &[&str], other: Doc) {
        self.sections.retain(|s| !kinds.contains(&s.kind.as_str()));
        self.sections.extend(other.sections.into_iter().filter(|s| kinds.contains(&s.kind.as_str())));
        self.faults.extend(other.faults);
    }

    /// Removes all sections but those of these kinds; returns the removed keys with their sections.
    pub fn retain_sections(&mut self, kinds: &[&str]) -> Vec<String> {
        let is_retained = |s: &Section| kinds.contains(&s.kind.as_str());
        let removed = self.sections.iter().filter(|s| !is_retained(s));
        let keys = removed.flat_map(|s| s.entries.iter().map(move |e| format!("[{}] {}", s.head(), e.key)));
        let keys = keys.collect();
        self.sections.retain(is_retained);
        keys
    }

    /// The canonical text of the sections of these kinds. It does not depend on the order of kinds and keys
    /// or on white space, so the same settings have the same text.
    pub fn canonical(&self, kinds: &[&str]) -> String {
        let mut sections: Vec<&Section> =
            self.sections.iter().filter(|s| kinds.contains(&s.kind.as_str())).collect();
        // Classes keep their order, as tables list them in it; a request that names no class takes that of
        // its model.
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

    /// Every section's header, key and value.
    pub fn entries(&self) -> Vec<(String, String, String)> {
        let all = self.sections.iter();
        all.flat_map(|s| s.entries.iter().map(move |e| (s.head(), e.key.clone(), e.value.clone()))).collect()
    }

    /// The positions of all sections of a kind. They count as read.
    pub fn all(&mut self, kind: &str) -> Vec<usize> {
        let matches = |(at, s): (usize, &mut Section)| {
            (s.kind == kind).then(|| {
                s.used = true;
                at
            })
        };
        self.sections.iter_mut().enumerate().filter_map(matches).collect()
    }

    /// Marks the sections of a kind and their keys as read, so that nothing in them is a fault. They are read
    /// elsewhere.
    pub fn skip(&mut self, kind: &str) {
        for section in self.sections.iter_mut().filter(|s| s.kind == kind) {
            section.used = true;
            section.entries.iter_mut().for_each(|e| e.used = true);
        }
    }

    /// The position of the only section of a kind, if there is one. A second section of the kind is a fault.
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

    /// Records a fault at a key of a section, or at the section if the key is empty or absent.
    pub fn add_fault(&mut self, at: usize, key: &str, what: impl Into<String>) {
        let section = &self.sections[at];
        let line = section.entries.iter().find(|e| e.key == key).map_or(section.line, |e| e.line);
        let fault = self.fault_at(line, &section.head(), key, what.into());
        self.faults.push(Fault { file: section.file.clone(), ..fault });
    }

    /// Records a fault of the file as a whole.
    pub fn add_file_fault(&mut self, what: impl Into<String>) {
        let fault = self.fault_at(1, "", "", what.into());
        self.faults.push(fault);
    }

    /// The text of a key's value, if the key is given.
    pub fn text(&mut self, at: usize, key: &str) -> Option<String> {
        let entry = self.sections[at].entries.iter_mut().find(|e| e.key == key)?;
        entry.used = true;
        Some(entry.value.clone())
    }

    /// The value of a key, if the key is given. A value that can't be read is a fault and counts as not
    /// given.
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

    /// The value of a key, or a default. `at` is `None` if the section is missing.
    pub fn or<T: Value>(&mut self, at: Option<usize>, key: &str, default: T) -> T {
        at.and_then(|at| self.get(at, key)).unwrap_or(default)
    }

    /// The value of a required key; it is a fault if the key is missing.
    pub fn need<T: Value>(&mut self, at: usize, key: &str) -> Option<T> {
        if !self.sections[at].entries.iter().any(|e| e.key == key) {
            self.add_fault(at, "", format!("{key}: expected {}", T::EXPECTED));
            return None;
        }
        self.get(at, key)
    }

    /// Whether any fault has been recorded.
    pub fn has_faults(&self) -> bool {
        !self.faults.is_empty()
    }

    /// Ends the reading. Sections and keys that were not read are faults too. `known` lists the known kinds
    /// of sections.
    ///
    /// # Errors
    /// All faults, by line.
    pub fn finish(mut self, known: &[&str]) -> Result<(), Vec<Fault>> {
        for at in 0..self.sections.len() {
            let section = &self.sections[at];
            if !section.used {
                let hint = similar_word_hint(&section.kind, known.iter().copied());
                self.add_fault(
                    at,
                    "",
                    format!("no such section{hint}; expected one of {}", known.join(", ")),
                );
                continue;
            }
            let used: Vec<String> =
                section.entries.iter().filter(|e| e.used).map(|e| e.key.clone()).collect();
            let unused: Vec<String> =
                section.entries.iter().filter(|e| !e.used).map(|e| e.key.clone()).collect();
            for key in unused {
                let hint = similar_word_hint(&key, used.iter().map(String::as_str));
                self.add_fault(at, &key, format!("no such key here{hint}"));
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

/// A hint at the most similar known word; empty if none has an edit distance of 2 or less.
fn similar_word_hint<'a>(word: &str, known: impl Iterator<Item = &'a str>) -> String {
    let is_similar = |k: &&str| distance(word, k) <= 2;
    known
        .filter(is_similar)
        .min_by_key(|k| distance(word, k))
        .map(|k| format!(", perhaps {k}"))
        .unwrap_or_default()
}

/// The Levenshtein distance.
fn distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut diagonal = std::mem::replace(&mut row[0], i + 1);
        for (j, y) in b.iter().enumerate() {
            let substitution = diagonal + usize::from(x != *y);
            let least = substitution.min(row[j] + 1).min(row[j + 1] + 1);
            diagonal = std::mem::replace(&mut row[j + 1], least);
        }
    }
    row[b.len()]
}

/// Finds the lines of sections and keys, in the order in which the parser returns these.
struct LineFinder<'a> {
    lines: Vec<&'a str>,
    /// The index of the line from which on the next search begins.
    next: usize,
}

impl<'a> LineFinder<'a> {
    fn new(text: &'a str) -> Self {
        LineFinder { lines: text.lines().collect(), next: 0 }
    }

    /// The number of the next line that matches, from 1.
    fn find(&mut self, matches: impl Fn(&str) -> bool) -> usize {
        let found = (self.next..self.lines.len()).find(|&n| matches(self.lines[n].trim()));
        // The parser merges sections of the same name, so the line may be an earlier one.
        let found = found.or_else(|| (0..self.lines.len()).find(|&n| matches(self.lines[n].trim())));
        if let Some(n) = found {
            self.next = n + 1;
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
