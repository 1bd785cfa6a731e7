//! A stand-in ACME authority (RFC 8555) on loopback: it verifies signatures, nonces, addresses and
//! challenges, signs certificates of any life, and can be told to refuse.
#![allow(dead_code)]

use base64::engine::general_purpose::URL_SAFE_NO_PAD as B64;
use base64::Engine;
use rcgen::{BasicConstraints, CertificateParams, CertificateSigningRequestParams, IsCa, Issuer, KeyPair};
use ring::{digest, signature};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;
use tokio_rustls::rustls::pki_types::{CertificateDer, PrivatePkcs8KeyDer, ServerName};
use tokio_rustls::rustls::{self, ClientConnection, RootCertStore, ServerConnection, StreamOwned};

/// A client's connection under TLS.
pub type Tls = StreamOwned<ClientConnection, TcpStream>;

/// Reads up to ReadyForQuery: the types of the messages.
pub fn until_ready(tls: &mut Tls) -> String {
    let mut kinds = String::new();
    while !kinds.ends_with('Z') {
        let mut head = [0; 5];
        tls.read_exact(&mut head).expect("a message");
        let mut body = vec![0; u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize - 4];
        tls.read_exact(&mut body).expect("its body");
        kinds.push(char::from(head[0]));
    }
    kinds
}

impl Authority {
    /// Opens TLS as a PostgreSQL client does, trusts this authority's root only, and sends `startup`; up to
    /// ReadyForQuery.
    pub fn secure(&self, mut stream: TcpStream, name: &'static str, startup: &[u8]) -> Tls {
        stream.write_all(&[&8u32.to_be_bytes()[..], &80_877_103u32.to_be_bytes()].concat()).expect("written");
        let mut word = [0];
        stream.read_exact(&mut word).expect("an answer");
        assert_eq!(word, *b"S", "TLS is offered");
        let mut roots = RootCertStore::empty();
        roots.add(self.root_der.clone()).expect("a root");
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let config = rustls::ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .expect("versions")
            .with_root_certificates(roots)
            .with_no_client_auth();
        let name = ServerName::try_from(name).expect("a name");
        let session = ClientConnection::new(Arc::new(config), name).expect("a session");
        let mut tls = StreamOwned::new(session, stream);
        tls.write_all(startup).expect("the certificate holds");
        until_ready(&mut tls);
        tls
    }
}

#[derive(Default)]
struct State {
    nonces: BTreeSet<String>,
    next: u64,
    /// Accounts: their keys, by address.
    accounts: BTreeMap<String, Value>,
    /// Orders: names, status and certificate.
    orders: Vec<(Vec<String>, &'static str, String)>,
    refusing: bool,
    refused: usize,
    faults: Vec<String>,
}

pub struct Authority {
    pub directory: String,
    /// The root of the authority's own address and of what it signs, as PEM.
    pub root: String,
    pub root_der: CertificateDer<'static>,
    state: Arc<Mutex<State>>,
}

struct Shared {
    base: String,
    life: Duration,
    challenges: SocketAddr,
    issuer: Issuer<'static, KeyPair>,
    state: Arc<Mutex<State>>,
}

impl Authority {
    /// Starts one whose certificates live so long and which asks its questions at an address.
    pub fn start(life: Duration, challenges: SocketAddr) -> Authority {
        let key = KeyPair::generate().expect("a key");
        let mut params = CertificateParams::new(Vec::new()).expect("parameters");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let root = params.self_signed(&key).expect("a root");
        let issuer = Issuer::new(params, key);
        let own_key = KeyPair::generate().expect("a key");
        let own = CertificateParams::new(vec!["127.0.0.1".to_owned()]).expect("parameters");
        let own = own.signed_by(&own_key, &issuer).expect("a certificate");
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let config = rustls::ServerConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .expect("versions")
            .with_no_client_auth()
            .with_single_cert(
                vec![own.der().clone()],
                PrivatePkcs8KeyDer::from(own_key.serialize_der()).into(),
            )
            .expect("a configuration");
        let (config, state) = (Arc::new(config), Arc::<Mutex<State>>::default());
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let base = format!("https://{}", listener.local_addr().expect("an address"));
        let shared =
            Arc::new(Shared { base: base.clone(), life, challenges, issuer, state: Arc::clone(&state) });
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (shared, config) = (Arc::clone(&shared), Arc::clone(&config));
                thread::spawn(move || {
                    let session = ServerConnection::new(config).expect("a session");
                    serve(&shared, StreamOwned::new(session, stream));
                });
            }
        });
        Authority {
            directory: format!("{base}/directory"),
            root: root.pem(),
            root_der: root.der().clone(),
            state,
        }
    }

    pub fn refuse(&self, refusing: bool) {
        self.state.lock().expect("unpoisoned").refusing = refusing;
    }
    /// Orders refused so far.
    pub fn refused(&self) -> usize {
        self.state.lock().expect("unpoisoned").refused
    }
    /// Certificates signed so far.
    pub fn signed(&self) -> usize {
        self.state.lock().expect("unpoisoned").orders.iter().filter(|o| o.1 == "valid").count()
    }
    pub fn accounts(&self) -> usize {
        self.state.lock().expect("unpoisoned").accounts.len()
    }
    /// What was wrong with what it was sent.
    pub fn faults(&self) -> Vec<String> {
        self.state.lock().expect("unpoisoned").faults.clone()
    }
}

type Reply = (u16, Option<String>, Value);

#[expect(clippy::too_many_lines, reason = "a stand-in answers each step of its protocol in one place")]
fn serve(shared: &Shared, mut stream: StreamOwned<ServerConnection, TcpStream>) {
    let mut input = BufReader::new(&mut stream);
    let mut line = String::new();
    if input.read_line(&mut line).is_err() {
        return;
    }
    let mut words = line.split(' ').map(str::to_owned);
    let (method, path) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let mut length = 0;
    for header in input.by_ref().lines().map_while(Result::ok).take_while(|l| !l.is_empty()) {
        let header = header.to_ascii_lowercase();
        length =
            header.strip_prefix("content-length:").map_or(length, |n| n.trim().parse().expect("a length"));
    }
    let mut body = vec![0; length];
    if input.read_exact(&mut body).is_err() {
        return;
    }
    let (status, location, body) = match (method.as_str(), path.as_str()) {
        (_, "/directory") => {
            let at = |p: &str| format!("{}/{p}", shared.base);
            let all = json!({"newNonce": at("nonce"), "newAccount": at("account"), "newOrder": at("order"),
                "revokeCert": at("revoke"), "keyChange": at("change")});
            (200, None, all)
        }
        (_, "/nonce") => (200, None, Value::Null),
        ("POST", path) => signed(shared, path, &body).unwrap_or_else(|(kind, why)| {
            shared.state.lock().expect("unpoisoned").faults.push(why.clone());
            (400, None, json!({"type": format!("urn:ietf:params:acme:error:{kind}"), "detail": why}))
        }),
        _ => (404, None, Value::Null),
    };
    let nonce = {
        let mut state = shared.state.lock().expect("unpoisoned");
        state.next += 1;
        let nonce = B64.encode(format!("nonce-{}", state.next));
        state.nonces.insert(nonce.clone());
        nonce
    };
    let (kind, text) = match &body {
        Value::String(pem) => ("application/pem-certificate-chain", pem.clone()),
        Value::Null => ("text/plain", String::new()),
        other if status >= 400 => ("application/problem+json", other.to_string()),
        other => ("application/json", other.to_string()),
    };
    let location = location.map_or(String::new(), |l| format!("Location: {l}\r\n"));
    let text = if method == "HEAD" { String::new() } else { text };
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\nReplay-Nonce: {nonce}\r\n{location}\
         Connection: close\r\nContent-Length: {}\r\n\r\n",
        text.len()
    );
    let _ = stream.write_all((head + &text).as_bytes());
    stream.conn.send_close_notify();
    let _ = stream.flush();
}

fn decoded(v: &Value) -> Result<Vec<u8>, (&'static str, String)> {
    B64.decode(v.as_str().unwrap_or("")).map_err(|_| ("malformed", "a part is not base64url".into()))
}

/// Verifies a JWS and does what it asks for.
#[expect(clippy::too_many_lines, reason = "a stand-in answers each step of its protocol in one place")]
fn signed(shared: &Shared, path: &str, body: &[u8]) -> Result<Reply, (&'static str, String)> {
    let bad = |kind: &'static str, why: &str| (kind, why.to_owned());
    let jws: Value = serde_json::from_slice(body).map_err(|_| bad("malformed", "no JSON"))?;
    let head: Value =
        serde_json::from_slice(&decoded(&jws["protected"])?).map_err(|_| bad("malformed", "no header"))?;
    let payload = decoded(&jws["payload"])?;
    let payload: Value = serde_json::from_slice(&payload).unwrap_or(Value::Null);
    let mut state = shared.state.lock().expect("unpoisoned");
    let key = match (head["kid"].as_str(), path) {
        (Some(kid), _) => {
            state.accounts.get(kid).cloned().ok_or_else(|| bad("accountDoesNotExist", "no account"))?
        }
        (None, "/account") => head["jwk"].clone(),
        _ => return Err(bad("malformed", "neither kid nor jwk")),
    };
    let point = [vec![4], decoded(&key["x"])?, decoded(&key["y"])?].concat();
    let message =
        format!("{}.{}", jws["protected"].as_str().unwrap_or(""), jws["payload"].as_str().unwrap_or(""));
    signature::UnparsedPublicKey::new(&signature::ECDSA_P256_SHA256_FIXED, point)
        .verify(message.as_bytes(), &decoded(&jws["signature"])?)
        .map_err(|_| bad("malformed", "the signature is wrong"))?;
    if head["alg"] != "ES256" || head["url"] != format!("{}{path}", shared.base) {
        return Err(bad("unauthorized", "the header is for something else"));
    }
    if !state.nonces.remove(head["nonce"].as_str().unwrap_or("")) {
        return Err(bad("badNonce", "the nonce is not fresh"));
    }
    let at = |p: String| format!("{}/{p}", shared.base);
    let n = path.rsplit('/').next().and_then(|n| n.parse::<usize>().ok());
    let order = |state: &State, n: usize| {
        let (names, status, _) = &state.orders[n];
        let ids: Vec<Value> = names.iter().map(|v| json!({"type": "dns", "value": v})).collect();
        let certificate = (*status == "valid").then(|| at(format!("certificate/{n}")));
        json!({"status": status, "identifiers": ids, "authorizations": [at(format!("authorization/{n}"))],
            "finalize": at(format!("finalize/{n}")), "certificate": certificate})
    };
    let place = path.trim_start_matches('/').split('/').next().unwrap_or("");
    Ok(match (place, n.filter(|n| *n < state.orders.len())) {
        ("account", _) => {
            let kid = at(format!("account/{}", state.accounts.len()));
            state.accounts.insert(kid.clone(), key);
            (201, Some(kid), json!({"status": "valid"}))
        }
        ("order", None) => {
            if state.refusing {
                state.refused += 1;
                let kind = "urn:ietf:params:acme:error:rateLimited";
                return Ok((429, None, json!({"type": kind, "detail": "too many orders"})));
            }
            let names = payload["identifiers"].as_array().cloned().unwrap_or_default();
            let names = names.iter().filter_map(|i| Some(i["value"].as_str()?.to_owned())).collect();
            state.orders.push((names, "pending", String::new()));
            let n = state.orders.len() - 1;
            (201, Some(at(format!("order/{n}"))), order(&state, n))
        }
        ("order", Some(n)) => (200, None, order(&state, n)),
        ("authorization", Some(n)) => {
            let status = if state.orders[n].1 == "pending" { "pending" } else { "valid" };
            let challenge = json!({"type": "http-01", "url": at(format!("challenge/{n}")), "token": token(n),
                "status": status});
            let id = json!({"type": "dns", "value": state.orders[n].0[0]});
            (200, None, json!({"identifier": id, "status": status, "challenges": [challenge]}))
        }
        ("challenge", Some(n)) => {
            let (crv, x, y) = (key["crv"].clone(), key["x"].clone(), key["y"].clone());
            let canonical = format!(r#"{{"crv":{crv},"kty":"EC","x":{x},"y":{y}}}"#);
            let thumb = B64.encode(digest::digest(&digest::SHA256, canonical.as_bytes()));
            let told = ask(shared.challenges, &token(n));
            if told.as_deref() != Some(&format!("{}.{thumb}", token(n))) {
                state.orders[n].1 = "invalid";
                return Err(("unauthorized", format!("the challenge was answered with {told:?}")));
            }
            state.orders[n].1 = "ready";
            (
                200,
                None,
                json!({"type": "http-01", "url": at(format!("challenge/{n}")), "token": token(n),
                "status": "valid"}),
            )
        }
        ("finalize", Some(n)) => {
            if state.orders[n].1 != "ready" {
                return Err(bad("orderNotReady", "nothing was proven"));
            }
            let der = decoded(&payload["csr"])?;
            let csr = CertificateSigningRequestParams::from_der(&der.into());
            let mut csr = csr.map_err(|_| bad("badCSR", "the request is unreadable"))?;
            let asked: Vec<String> = csr
                .params
                .subject_alt_names
                .iter()
                .filter_map(|n| match n {
                    rcgen::SanType::DnsName(name) => Some(name.as_str().to_owned()),
                    _ => None,
                })
                .collect();
            if asked != state.orders[n].0 {
                return Err(("badCSR", format!("it asks for {asked:?}")));
            }
            csr.params.not_before = time::OffsetDateTime::now_utc() - Duration::from_secs(1);
            csr.params.not_after = time::OffsetDateTime::now_utc() + shared.life;
            let signed = csr.signed_by(&shared.issuer).map_err(|_| bad("badCSR", "it can't be signed"))?;
            (state.orders[n].1, state.orders[n].2) = ("valid", signed.pem());
            (200, None, order(&state, n))
        }
        ("certificate", Some(n)) => (200, None, Value::String(state.orders[n].2.clone())),
        _ => (404, None, json!({"type": "urn:ietf:params:acme:error:malformed", "detail": "no such thing"})),
    })
}

fn token(n: usize) -> String {
    B64.encode(format!("token-number-{n}"))
}

/// Asks the question of http-01.
fn ask(at: SocketAddr, token: &str) -> Option<String> {
    let mut stream = TcpStream::connect(at).ok()?;
    write!(stream, "GET /.well-known/acme-challenge/{token} HTTP/1.1\r\nHost: x\r\n\r\n").ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    text.split_once("\r\n\r\n")
        .filter(|(head, _)| head.starts_with("HTTP/1.1 200"))
        .map(|(_, b)| b.to_owned())
}
