//! Chunk extensions, which are validated and skipped.

use super::head::is_token_byte;

/// Whether a text is a list of chunk extensions (RFC 9112, 7.1.1): `;name`, `;name=token` or
/// `;name="quoted"`, with optional spaces and tabs around `;` and `=`. None may follow the last extension.
pub(super) fn is_extension_list(text: &str) -> bool {
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

/// Skips a token. Returns false if there is none.
fn skip_token(text: &mut &str) -> bool {
    let length = text.bytes().take_while(|&byte| is_token_byte(byte)).count();
    *text = &text[length..];
    length > 0
}

/// The text after a quoted string, from behind its opening quote; `None` if the string is invalid or has no
/// end.
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
