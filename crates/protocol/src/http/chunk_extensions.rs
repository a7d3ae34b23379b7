//! Extensions of chunk sizes, which are checked and skipped.

use super::head::is_token_byte;

/// Whether this is a run of chunk extensions (RFC 9112, 7.1.1): `;name`, `;name=token` or `;name="quoted"`, with blanks
/// around `;` and `=`. No blank may follow the last.
pub(super) fn are_extensions(text: &str) -> bool {
    let mut rest = text;
    while !rest.is_empty() {
        skip_blanks(&mut rest);
        let Some(after) = rest.strip_prefix(';') else { return false };
        rest = after;
        skip_blanks(&mut rest);
        if !skip_token(&mut rest) {
            return false;
        }
        let mut ahead = rest;
        skip_blanks(&mut ahead);
        let Some(value) = ahead.strip_prefix('=') else { continue };
        rest = value;
        skip_blanks(&mut rest);
        if let Some(quoted) = rest.strip_prefix('"') {
            let Some(after) = after_quoted(quoted) else { return false };
            rest = after;
        } else if !skip_token(&mut rest) {
            return false;
        }
    }
    true
}

fn skip_blanks(text: &mut &str) {
    *text = text.trim_start_matches([' ', '\t']);
}

/// Skips a token; false if there is none.
fn skip_token(text: &mut &str) -> bool {
    let length = text.bytes().take_while(|&byte| is_token_byte(byte)).count();
    *text = &text[length..];
    length > 0
}

/// What follows a quoted string whose opening quote is taken.
fn after_quoted(text: &str) -> Option<&str> {
    let mut escaped = false;
    for (at, byte) in text.bytes().enumerate() {
        match byte {
            _ if (byte < 0x20 && byte != b'\t') || byte == 0x7f => return None,
            _ if std::mem::take(&mut escaped) => {}
            b'\\' => escaped = true,
            b'"' => return Some(&text[at + 1..]),
            _ => {}
        }
    }
    None
}
