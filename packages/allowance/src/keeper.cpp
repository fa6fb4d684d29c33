#include "gypsumstep/allowance/keeper.h"

#include <algorithm>
#include <cmath>

namespace gypsumstep::allowance {
namespace {

/// Tolerance for the rounding of sums of refills, in tokens; far below the slack of the bound.
constexpr double rounding = 1e-6;

/// Limits of the time after which an entry daemon asks again. The lower one bounds the datagrams
/// of a flooded account; the upper one applies while others asked for the same tokens, and lets
/// each daemon ask about as often as a bucket of one second's rate fills.
constexpr duration min_retry = 20ms;
constexpr duration max_shared_retry = 1s;

/// Time after which an entry daemon asks again for an account that this daemon does not know. Its
/// configuration may arrive meanwhile.
constexpr duration unknown_account_retry = 500ms;

/// Longest time reported, so that a tiny rate does not overflow.
constexpr duration max_retry = 1h;

double seconds(duration value)
{
    return std::chrono::duration<double>{value}.count();
}

duration from_seconds(double value)
{
    return value >= seconds(max_retry)
               ? max_retry
               : std::chrono::ceil<duration>(std::chrono::duration<double>{value});
}

} // namespace

double keeper::depth_of(const account_limit& limit) const
{
    return m_part * (limit.burst + m_terms.extra_depth());
}

double keeper::start_of(const account_limit& limit, double part) const
{
    return part *
           (m_terms.start_tokens() + limit.rate_per_second * seconds(m_terms.start_advance()));
}

void keeper::refill(bucket& refilled, time_point now) const
{
    const time_point from = std::max(refilled.refilled_at, m_refill_from);
    if (now <= from) {
        return;
    }
    const double added = m_part * refilled.limit.rate_per_second * seconds(now - from);
    refilled.tokens = std::min(refilled.tokens + added, depth_of(refilled.limit));
    refilled.shortfall = std::max(0.0, refilled.shortfall - added);
    refilled.refilled_at = now;
}

void keeper::set_limits(const account_limits& limits, time_point now)
{
    std::erase_if(m_buckets, [&](const auto& entry) { return !limits.contains(entry.first); });
    for (const auto& [account, limit] : limits) {
        const auto [entry, added] = m_buckets.try_emplace(account);
        bucket& changed = entry->second;
        if (added) {
            changed.limit = limit;
            changed.tokens = std::min(start_of(limit, m_part), depth_of(limit));
            changed.refilled_at = now + m_terms.start_advance();
            continue;
        }
        if (changed.limit == limit) {
            continue;
        }
        refill(changed, now);
        changed.limit = limit;
        changed.tokens = std::min(changed.tokens, depth_of(limit));
    }
}

void keeper::set_part(double part, time_point now)
{
    if (part == m_part) {
        return;
    }
    for (auto& [account, changed] : m_buckets) {
        refill(changed, now);
    }
    const double added = std::max(0.0, part - m_part);
    const bool starts = m_part == 0;
    m_part = part;
    if (starts) {
        m_refill_from = now + m_terms.start_advance();
    }
    for (auto& [account, changed] : m_buckets) {
        const double start =
            starts ? start_of(changed.limit, added) : added * m_terms.start_tokens();
        changed.tokens = std::min(changed.tokens + start, depth_of(changed.limit));
        changed.refilled_at = std::max(changed.refilled_at, now);
    }
}

token_answer keeper::grant(const token_request& request, time_point now)
{
    token_answer answer;
    answer.number = request.number;
    answer.is_keeper = m_part > 0;
    if (answer.is_keeper) {
        answer.grants.reserve(request.needs.size());
        for (const account_need& need : request.needs) {
            answer.grants.push_back(grant(need, now));
        }
    }
    return answer;
}

account_grant keeper::grant(const account_need& need, time_point now)
{
    const auto found = m_buckets.find(need.account);
    if (found == m_buckets.end()) {
        return {0, unknown_account_retry};
    }
    bucket& source = found->second;
    refill(source, now);
    const double whole = std::floor(source.tokens + rounding);
    const double for_waiting = std::min<double>(need.waiting, whole);
    // Tokens ahead of use may expire unused, so they come only from the upper half of the bucket.
    const double spare =
        std::floor(source.tokens + rounding - for_waiting - depth_of(source.limit) / 2);
    const double granted = for_waiting + std::clamp<double>(need.ahead, 0.0, std::max(0.0, spare));
    source.tokens -= granted;
    auto thousandths = static_cast<std::uint32_t>(granted) * thousandths_of_token;
    if (need.thousandths > 0) {
        const auto left = static_cast<std::uint32_t>(source.tokens * thousandths_of_token);
        const std::uint32_t added = std::min(need.thousandths, left);
        source.tokens -= static_cast<double>(added) / thousandths_of_token;
        thousandths += added;
    }
    account_grant result{thousandths, duration{0}};
    const double rate = m_part * source.limit.rate_per_second;
    const duration next = from_seconds(std::max(0.0, 1 - source.tokens) / rate);
    result.retry_after = next;
    if (for_waiting < need.waiting) {
        const duration shared = std::min(from_seconds(source.shortfall / rate), max_shared_retry);
        source.shortfall =
            std::min(source.shortfall + need.waiting - for_waiting, rate * seconds(max_retry));
        result.retry_after = std::max({next, shared, min_retry});
    }
    return result;
}

} // namespace gypsumstep::allowance
