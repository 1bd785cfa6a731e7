//! Orders a certificate from the authority.

use super::certificate::Certificate;
use super::challenge_listener::ChallengeResponses;
use super::error::OrderError;
use super::{store, CertificateConfig};
use instant_acme::{
    Account, AccountBuilder, AuthorizationStatus, ChallengeType, Identifier, NewAccount, NewOrder, Order,
    OrderStatus, RetryPolicy,
};
use tracing::warn;

/// Orders a certificate for the configured names. The responses to the authority's challenges are added to
/// `responses`, from which the challenge listener serves them.
///
/// # Errors
/// The error of the first step that failed.
pub async fn order(
    config: &CertificateConfig,
    responses: &ChallengeResponses,
) -> Result<Certificate, OrderError> {
    let account = open_account(config).await?;
    let names: Vec<Identifier> = config.names.iter().cloned().map(Identifier::Dns).collect();
    let mut order = account.new_order(&NewOrder::new(&names)).await?;
    answer_challenges(&mut order, responses).await?;
    let status = order.poll_ready(&RetryPolicy::default()).await?;
    if status != OrderStatus::Ready {
        return Err(OrderError::NotReady(status));
    }
    let key = order.finalize().await?;
    let chain = order.poll_certificate(&RetryPolicy::default()).await?;
    Ok(Certificate::parse(chain, key)?)
}

async fn answer_challenges(order: &mut Order, responses: &ChallengeResponses) -> Result<(), OrderError> {
    let mut authorizations = order.authorizations();
    while let Some(authorization) = authorizations.next().await {
        let mut authorization = authorization?;
        if authorization.status == AuthorizationStatus::Valid {
            continue;
        }
        let challenge = authorization.challenge(ChallengeType::Http01);
        let mut challenge = challenge.ok_or(OrderError::NoHttpChallenge)?;
        let response = challenge.key_authorization().as_str().to_owned();
        responses.insert(challenge.token.clone(), response);
        challenge.set_ready().await?;
    }
    Ok(())
}

/// Opens the account on disk if it belongs to the configured authority, and otherwise creates one.
async fn open_account(config: &CertificateConfig) -> Result<Account, OrderError> {
    let builder = match &config.trust_root {
        Some(root) => Account::builder_with_root(root),
        None => Account::builder(),
    };
    let builder = builder.map_err(OrderError::Account)?;
    let stored = config.store.as_deref().and_then(|folder| store::load_account(folder, &config.directory));
    match stored {
        Some(credentials) => builder.from_credentials(credentials).await.map_err(OrderError::Account),
        None => create_account(builder, config).await,
    }
}

async fn create_account(builder: AccountBuilder, config: &CertificateConfig) -> Result<Account, OrderError> {
    let contact: Vec<&str> = config.contact.iter().map(String::as_str).collect();
    let new_account =
        NewAccount { contact: &contact, terms_of_service_agreed: true, only_return_existing: false };
    let created = builder.create(&new_account, config.directory.clone(), None).await;
    let (account, credentials) = created.map_err(OrderError::Account)?;
    if let Some(folder) = &config.store {
        let credentials = serde_json::to_value(&credentials)?;
        // A folder that cannot be written must not delay the certificate: the next order replaces the lost
        // account.
        if let Err(error) = store::save_account(folder, &config.directory, credentials) {
            warn!(%error, "account not saved; the next order creates another");
        }
    }
    Ok(account)
}
