//! Tenant quotas: whether a request is within its tenant's quota, from the quota's rate and the number of
//! managers among which it is divided evenly.

use crate::settings::TenantSettings;
use crate::snapshot::StoredPolicy;
use sprucelink_rate_limits::TokenBucket;
use sprucelink_time::Timestamp;

/// Minimum depth of a tenant's token bucket, in requests. A bucket is as deep as one second of this manager's
/// part of the quota, if that is more.
const MIN_BURST_REQUESTS: f64 = 6.0;

/// Whether a request is within its tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QuotaUse {
    /// The tenant has a token left for the request, or has no quota.
    WithinQuota,
    /// The tenant's tokens are used up: the request has a lower value, but is not rejected for that reason
    /// alone.
    OverQuota,
}

/// The token bucket of each tenant with a quota, by tenant index.
#[derive(Clone, Default)]
pub(crate) struct TenantQuotas {
    buckets: Vec<TokenBucket>,
}

impl TenantQuotas {
    pub(crate) fn new(tenants: usize) -> TenantQuotas {
        TenantQuotas { buckets: vec![TokenBucket::default(); tenants] }
    }

    /// Takes a token for a request of the tenant. A tenant without settings has no quota. `managers`: number
    /// of managers among which the quota is divided.
    pub(crate) fn take(
        &mut self,
        now: Timestamp,
        tenant: usize,
        settings: &[TenantSettings],
        managers: f64,
    ) -> QuotaUse {
        let Some(tenant_settings) = settings.get(tenant) else { return QuotaUse::WithinQuota };
        let requests_per_sec = tenant_settings.quota_per_s / managers;
        let depth = requests_per_sec.max(MIN_BURST_REQUESTS);
        match self.buckets[tenant].try_take(now, requests_per_sec, depth) {
            true => QuotaUse::WithinQuota,
            false => QuotaUse::OverQuota,
        }
    }

    pub(crate) fn store(&self, stored: &mut StoredPolicy) {
        stored.tenants.clone_from(&self.buckets);
    }

    pub(crate) fn restore(stored: &mut StoredPolicy) -> TenantQuotas {
        TenantQuotas { buckets: std::mem::take(&mut stored.tenants) }
    }
}

#[cfg(test)]
mod tests;
