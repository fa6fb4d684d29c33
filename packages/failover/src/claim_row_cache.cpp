#include "gypsumstep/failover/claim_row_cache.h"

#include <algorithm>

namespace gypsumstep::failover {

void claim_row_cache::update(const claim_row& row, time_point now)
{
    if (!m_known || row.version > m_row.version) {
        m_row = row;
        m_seen_at = now;
        m_known = true;
    }
}

time_point claim_row_cache::held_until(daemon_id self, const primary_view& known,
                                       duration timeout) const
{
    const bool open = m_known && m_row.phase == claim_phase::claimed &&
                      m_row.claimed > known.primary_term && m_row.claim.claimant != self;
    return open ? m_seen_at + timeout : time_point::min();
}

void claim_recorder::start(const primary_view& primary, const claim_id& claim, time_point due)
{
    m_job = job{primary, claim, due};
}

void claim_recorder::observe(const primary_view& known)
{
    if (m_job && known.primary_term > m_job->primary.primary_term) {
        m_job.reset();
    }
}

void claim_recorder::answered(const claim_written& answer, time_point now)
{
    if (!m_job || answer.claim != m_job->claim) {
        return;
    }
    if (answer.status == platform_status::done) {
        m_job.reset();
    }
    else if (answer.status == platform_status::conflict) {
        m_job->due = now;
    }
}

void claim_recorder::advance(const claim_row_cache& cache, const settings& limits, time_point now,
                             actions& out)
{
    if (!m_job || now < m_job->due) {
        return;
    }
    m_job->due = now + limits.platform_retry_interval;
    if (!cache.known()) {
        out.emplace_back(read_claim{});
        return;
    }
    const claim_row& row = cache.row();
    const bool stored = row.phase == claim_phase::recorded &&
                        row.primary.primary_term >= m_job->primary.primary_term;
    if (stored) {
        m_job.reset();
        return;
    }
    const time_point held =
        cache.held_until(m_job->claim.claimant, m_job->primary, limits.claim_timeout);
    if (now < held) {
        m_job->due = held;
        return;
    }
    out.emplace_back(
        write_claim{{row.version + 1, std::max(row.claimed, m_job->primary.primary_term),
                     m_job->claim, claim_phase::recorded, m_job->primary}});
}

} // namespace gypsumstep::failover
