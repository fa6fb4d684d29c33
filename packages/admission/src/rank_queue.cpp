#include "gypsumstep/admission/detail/rank_queue.h"

namespace gypsumstep::admission::detail {

namespace {

// Highest debt of an account in charged estimates; bounds how long it waits for others after one
// request that took much longer than estimated.
constexpr int max_debt_requests = 64;

} // namespace

void rank_queue::push(entry& added)
{
    m_waiting.push(added, added.item.client_account);
    m_by_start.insert(added);
}

void rank_queue::remove(entry& removed)
{
    m_waiting.remove(removed);
    m_by_start.erase(m_by_start.iterator_to(removed));
}

entry& rank_queue::pop()
{
    entry& chosen = *m_waiting.first();
    m_waiting.start(chosen, chosen.charged);
    m_by_start.erase(m_by_start.iterator_to(chosen));
    return chosen;
}

void rank_queue::complete(const entry& finished, duration excess)
{
    m_waiting.charge(finished.item.client_account, excess, max_debt_requests * finished.charged);
}

std::size_t rank_queue::size(client_account_id account) const
{
    return m_waiting.size_of(account);
}

std::size_t rank_queue::waiting_accounts_with(client_account_id account) const
{
    return m_waiting.waiting_accounts() + (size(account) == 0 ? 1 : 0);
}

entry* rank_queue::first_to_expire()
{
    return m_by_start.empty() ? nullptr : &*m_by_start.begin();
}

std::uint64_t rank_queue::head_arrival_number() const
{
    return m_waiting.first()->arrival_number;
}

} // namespace gypsumstep::admission::detail
