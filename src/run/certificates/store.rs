//! Stores the account and the certificate on disk.

use super::certificate::Certificate;
use super::error::LoadError;
use instant_acme::AccountCredentials;
use serde_json::{json, Value};
use std::fs::OpenOptions;
use std::io::{self, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

/// Name of the file with the key and the certificate: one file, so that neither is ever stored without the
/// other.
const CERTIFICATE_FILE: &str = "certificate.pem";
/// Name of the file with the account's credentials and the directory of its authority (JSON).
const ACCOUNT_FILE: &str = "account.json";
/// Separates the key from the chain in the certificate file.
const SEPARATOR: &str = "\n\n";
/// Mode of the files: only the owner may read them, since they contain keys.
const FILE_MODE: u32 = 0o600;

/// Reads the certificate and its key from `folder`.
///
/// # Errors
/// A file that is absent or invalid.
pub fn load(folder: &Path) -> Result<Certificate, LoadError> {
    let text = std::fs::read_to_string(folder.join(CERTIFICATE_FILE))?;
    let (key, chain) = text.split_once(SEPARATOR).ok_or(LoadError::Incomplete)?;
    Ok(Certificate::parse(chain.to_owned(), key.to_owned())?)
}

/// Writes the certificate and its key to `folder`.
///
/// # Errors
/// A folder that cannot be written.
pub fn save(folder: &Path, certificate: &Certificate) -> io::Result<()> {
    let text = format!("{}{SEPARATOR}{}", certificate.key().trim_end(), certificate.chain());
    write_private(&folder.join(CERTIFICATE_FILE), &text)
}

/// The credentials of the stored account; `None` if there is no account, or it does not belong to the
/// authority with this directory, since another authority does not know the account.
pub fn load_account(folder: &Path, directory: &str) -> Option<AccountCredentials> {
    let text = std::fs::read_to_string(folder.join(ACCOUNT_FILE)).ok()?;
    let account: Value = serde_json::from_str(&text).ok()?;
    if account["directory"] != directory {
        return None;
    }
    serde_json::from_value(account["credentials"].clone()).ok()
}

/// Writes the account's credentials and the directory of its authority to `folder`.
///
/// # Errors
/// A folder that cannot be written.
pub fn save_account(folder: &Path, directory: &str, credentials: Value) -> io::Result<()> {
    let text = json!({"directory": directory, "credentials": credentials}).to_string();
    write_private(&folder.join(ACCOUNT_FILE), &text)
}

/// Replaces a file atomically, with access for its owner only.
fn write_private(path: &Path, text: &str) -> io::Result<()> {
    let temporary = path.with_extension("new");
    let mut file =
        OpenOptions::new().write(true).create(true).truncate(true).mode(FILE_MODE).open(&temporary)?;
    file.write_all(text.as_bytes())?;
    file.sync_all()?;
    std::fs::rename(&temporary, path)
}
