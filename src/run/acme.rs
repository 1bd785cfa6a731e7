//! Certificates for the second front, by ACME (RFC 8555, challenge http-01): ordered at the start,
//! renewed before they expire, and tried again with growing rests while the old one serves.

use crate::front::Front;
use instant_acme::{
    Account, AuthorizationStatus, ChallengeType, Identifier, NewAccount, NewOrder, OrderStatus, RetryPolicy,
};
use serde_json::{json, Value};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, timeout};
use tokio_rustls::rustls::pki_types::pem::PemObject;
use tokio_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer};
use tokio_rustls::rustls::ServerConfig;
use tokio_rustls::TlsAcceptor;
use tracing::{error, info, warn};
use x509_parser::extensions::GeneralName;

/// A certificate is renewed with at least this share of its life to go, however short it is.
const LIFE_SHARE: f64 = 1.0 / 3.0;
/// Longest question of the authority, and how long it may take to put it.
const QUESTION: usize = 4096;
const PUT: Duration = Duration::from_secs(5);
/// Questions at a time: who has asked for longest goes for the next. An authority asks from a few places at once.
const QUESTIONS: usize = 16;
/// Descriptors that the certificates need at most: the listener, its questions and one just accepted, two connections to
/// the authority and a file.
pub const DESCRIPTORS: usize = 1 + QUESTIONS + 1 + 2 + 1;
/// How long one order may take in all.
const ORDER: Duration = Duration::from_secs(120);
/// No file makes the rests shorter: an authority that refuses is not to be flooded.
const LEAST_REST: Duration = Duration::from_millis(100);
/// Between two looks at the clock: machines sleep, and clocks are set.
const LOOK: Duration = Duration::from_secs(60);

/// What the operator's file says of certificates.
#[derive(Clone, Debug)]
pub struct Acme {
    /// The authority's directory.
    pub directory: String,
    /// The root that the authority's own certificate comes from; else the system's.
    pub trust_root: Option<PathBuf>,
    /// Names on the certificate.
    pub names: Vec<String>,
    /// Where to reach the operator.
    pub contact: Vec<String>,
    /// Where the authority's questions come in.
    pub challenge_listen: String,
    /// Folder for the account, the key and the certificate; without it each start orders anew.
    pub store: Option<PathBuf>,
    /// Renewed this long before it expires.
    pub renew_before: Duration,
    /// First and longest rest after a failure.
    pub retry: [Duration; 2],
}

/// Answers to the authority's questions, by token.
type Answers = Rc<RefCell<BTreeMap<String, String>>>;

/// A key and its certificate, as PEM, and the span that it holds for in Unix seconds.
struct Held {
    chain: String,
    key: String,
    from: i64,
    until: i64,
    names: Vec<String>,
}

fn unix() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_secs() as i64)
}

fn dns_name(name: &GeneralName) -> Option<String> {
    match name {
        GeneralName::DNSName(name) => Some((*name).to_owned()),
        _ => None,
    }
}

impl Held {
    fn new(chain: String, key: String) -> Result<Held, String> {
        let leaf =
            CertificateDer::from_pem_slice(chain.as_bytes()).map_err(|e| format!("certificate: {e}"))?;
        let (_, parsed) =
            x509_parser::parse_x509_certificate(&leaf).map_err(|e| format!("certificate: {e}"))?;
        let (from, until) =
            (parsed.validity().not_before.timestamp(), parsed.validity().not_after.timestamp());
        let names = match parsed.subject_alternative_name() {
            Ok(Some(names)) => names.value.general_names.iter().filter_map(dns_name).collect(),
            _ => Vec::new(),
        };
        Ok(Held { chain, key, from, until, names })
    }

    fn acceptor(&self) -> Result<TlsAcceptor, String> {
        let chain = CertificateDer::pem_slice_iter(self.chain.as_bytes()).collect::<Result<Vec<_>, _>>();
        let chain = chain.map_err(|e| format!("certificate: {e}"))?;
        let key = PrivateKeyDer::from_pem_slice(self.key.as_bytes()).map_err(|e| format!("key: {e}"))?;
        let provider = Arc::new(tokio_rustls::rustls::crypto::ring::default_provider());
        let config = ServerConfig::builder_with_provider(provider).with_safe_default_protocol_versions();
        let config = config.map_err(|e| e.to_string())?.with_no_client_auth().with_single_cert(chain, key);
        Ok(TlsAcceptor::from(Arc::new(config.map_err(|e| e.to_string())?)))
    }

    /// When it is to be renewed, in Unix seconds.
    fn renew_at(&self, before: Duration) -> i64 {
        let third = ((self.until - self.from) as f64 * LIFE_SHARE) as i64;
        self.until - third.min(before.as_secs() as i64)
    }
}

/// Keeps a front in certificates, for good. An error is one of the start.
pub async fn keep(acme: Acme, front: Rc<Front>) -> Result<(), String> {
    let at = &acme.challenge_listen;
    let listener = TcpListener::bind(at).await.map_err(|e| format!("listen on {at}: {e}"))?;
    let answers = Answers::default();
    spawn_local(questions(listener, Rc::clone(&answers)));
    spawn_local(renew(acme, front, answers));
    Ok(())
}

async fn renew(acme: Acme, front: Rc<Front>, answers: Answers) {
    let mut held = acme.store.as_deref().and_then(|dir| load(dir).ok());
    // Not one that has expired, nor one for the names of an older file.
    held = held.filter(|h| h.until > unix() && acme.names.iter().all(|n| h.names.contains(n)));
    if let Some(held) = &held {
        install(&front, held, "certificate loaded");
    }
    let mut rest = acme.retry[0];
    loop {
        let due = held.as_ref().map_or(0, |h| h.renew_at(acme.renew_before));
        if unix() < due {
            sleep(Duration::from_secs((due - unix()).max(1) as u64).min(LOOK)).await;
            continue;
        }
        let ordered = timeout(ORDER, order(&acme, &answers)).await;
        answers.borrow_mut().clear();
        match ordered.unwrap_or_else(|_| Err("the order took too long".into())) {
            Ok(new) => {
                if let Err(e) = acme.store.as_deref().map_or(Ok(()), |dir| save(dir, &new)) {
                    warn!("certificate not saved: {e}");
                }
                install(&front, &new, "certificate renewed");
                held = Some(new);
                rest = acme.retry[0];
            }
            Err(e) => {
                warn!("certificate not renewed, next try in {} s: {e}", rest.as_secs_f64());
                sleep(rest.max(LEAST_REST)).await;
                rest = (rest * 2).min(acme.retry[1]);
            }
        }
    }
}

/// Sessions that are open keep what they began with.
fn install(front: &Front, held: &Held, what: &str) {
    match held.acceptor() {
        Ok(acceptor) => {
            front.set_certificate(acceptor);
            info!("{what}, good until {}", held.until);
        }
        Err(e) => error!("certificate unusable: {e}"),
    }
}

async fn order(acme: &Acme, answers: &Answers) -> Result<Held, String> {
    let account = account(acme).await?;
    let say = |e: instant_acme::Error| e.to_string();
    let names: Vec<Identifier> = acme.names.iter().cloned().map(Identifier::Dns).collect();
    let mut order = account.new_order(&NewOrder::new(&names)).await.map_err(say)?;
    let mut authorizations = order.authorizations();
    while let Some(authorization) = authorizations.next().await {
        let mut authorization = authorization.map_err(say)?;
        if authorization.status == AuthorizationStatus::Valid {
            continue;
        }
        let challenge = authorization.challenge(ChallengeType::Http01);
        let mut challenge = challenge.ok_or("the authority offers no http-01 challenge")?;
        let answer = challenge.key_authorization().as_str().to_owned();
        answers.borrow_mut().insert(challenge.token.clone(), answer);
        challenge.set_ready().await.map_err(say)?;
    }
    let status = order.poll_ready(&RetryPolicy::default()).await.map_err(say)?;
    if status != OrderStatus::Ready {
        return Err(format!("the order is {status:?}"));
    }
    let key = order.finalize().await.map_err(say)?;
    let chain = order.poll_certificate(&RetryPolicy::default()).await.map_err(say)?;
    Held::new(chain, key)
}

async fn account(acme: &Acme) -> Result<Account, String> {
    let say = |e: instant_acme::Error| format!("account: {e}");
    let builder = match &acme.trust_root {
        Some(root) => Account::builder_with_root(root),
        None => Account::builder(),
    };
    let builder = builder.map_err(say)?;
    let file = acme.store.as_ref().map(|dir| dir.join("account.json"));
    let known = file.as_ref().and_then(|f| std::fs::read_to_string(f).ok());
    let known = known.and_then(|text| serde_json::from_str::<Value>(&text).ok());
    // An account is good at its own authority only.
    let known = known.filter(|k| k["directory"] == acme.directory);
    if let Some(credentials) = known.and_then(|k| serde_json::from_value(k["credentials"].clone()).ok()) {
        return builder.from_credentials(credentials).await.map_err(say);
    }
    let contact: Vec<&str> = acme.contact.iter().map(String::as_str).collect();
    let new = NewAccount { contact: &contact, terms_of_service_agreed: true, only_return_existing: false };
    let (account, credentials) = builder.create(&new, acme.directory.clone(), None).await.map_err(say)?;
    if let Some(file) = file {
        let credentials = serde_json::to_value(&credentials).map_err(|e| e.to_string())?;
        let text = json!({"directory": acme.directory, "credentials": credentials}).to_string();
        write_private(&file, &text).map_err(|e| format!("account not saved: {e}"))?;
    }
    Ok(account)
}

/// Key and certificate lie in one file, so that one is never there without the other.
const HELD: &str = "certificate.pem";

fn load(dir: &Path) -> Result<Held, String> {
    let text = std::fs::read_to_string(dir.join(HELD)).map_err(|e| e.to_string())?;
    let (key, chain) = text.split_once("\n\n").ok_or("no key and certificate")?;
    Held::new(chain.to_owned(), key.to_owned())
}

fn save(dir: &Path, held: &Held) -> std::io::Result<()> {
    write_private(&dir.join(HELD), &format!("{}\n\n{}", held.key.trim_end(), held.chain))
}

/// Writes a file that only its owner may read, whole or not at all.
fn write_private(path: &Path, text: &str) -> std::io::Result<()> {
    use std::io::Write;
    use std::os::unix::fs::OpenOptionsExt;
    let draft = path.with_extension("new");
    let mut file =
        std::fs::OpenOptions::new().write(true).create(true).truncate(true).mode(0o600).open(&draft)?;
    file.write_all(text.as_bytes())?;
    file.sync_all()?;
    std::fs::rename(&draft, path)
}

/// Answers the authority's questions, for good.
async fn questions(listener: TcpListener, answers: Answers) {
    let mut asked = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                asked.retain(|task: &JoinHandle<()>| !task.is_finished());
                // Guards the descriptors: anybody may connect here, and say nothing.
                let longest = if asked.len() >= QUESTIONS { asked.pop_front() } else { None };
                if let Some(longest) = longest {
                    longest.abort();
                    // An error here is its end.
                    let _ = longest.await;
                }
                let answers = Rc::clone(&answers);
                asked.push_back(spawn_local(
                    async move { drop(timeout(PUT, question(stream, answers)).await) },
                ));
            }
            Err(_) => sleep(Duration::from_millis(100)).await,
        }
    }
}

async fn question(mut stream: TcpStream, answers: Answers) -> std::io::Result<()> {
    let mut text = Vec::new();
    while !text.windows(4).any(|w| w == b"\r\n\r\n") {
        let mut piece = [0; 512];
        let n = stream.read(&mut piece).await?;
        if n == 0 || text.len() + n > QUESTION {
            return Ok(());
        }
        text.extend_from_slice(&piece[..n]);
    }
    let text = String::from_utf8_lossy(&text);
    let path = text.strip_prefix("GET ").and_then(|t| t.split(' ').next()).unwrap_or("");
    let token = path.strip_prefix("/.well-known/acme-challenge/").unwrap_or("");
    let answer = answers.borrow().get(token).cloned();
    let (status, body) = answer.map_or(("404 Not Found", String::new()), |a| ("200 OK", a));
    let head =
        format!("HTTP/1.1 {status}\r\nContent-Type: application/octet-stream\r\nConnection: close\r\n");
    stream.write_all(format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).as_bytes()).await
}
