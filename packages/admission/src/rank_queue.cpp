#include "gypsumstep/admission/detail/rank_queue.h"

#include <algorithm>

namespace gypsumstep::admission::detail {

namespace {

constexpr int highest_debt = 64; // quanta; bounds the rounds that pop() may take

} // namespace

void rank_queue::push(entry& added, duration quantum)
{
    flow& own = m_flows[added.item.client_account];
    if (own.waiting.empty()) {
        if (own.running == 0) {
            own.balance = quantum;
        }
        m_active.push_back(own);
    }
    own.waiting.push_back(added);
    m_by_start.insert(added);
}

void rank_queue::remove(entry& removed)
{
    flow& own = m_flows.at(removed.item.client_account);
    own.waiting.erase(own.waiting.iterator_to(removed));
    m_by_start.erase(m_by_start.iterator_to(removed));
    if (own.waiting.empty()) {
        m_active.erase(m_active.iterator_to(own));
        drop_if_idle(removed.item.client_account, own);
    }
}

entry& rank_queue::pop(duration quantum)
{
    while (m_active.front().balance <= duration{0}) {
        flow& passed = m_active.front();
        passed.balance += quantum;
        m_active.pop_front();
        m_active.push_back(passed);
    }
    flow& own = m_active.front();
    entry& chosen = own.waiting.front();
    own.waiting.pop_front();
    m_by_start.erase(m_by_start.iterator_to(chosen));
    own.balance -= chosen.charged;
    own.running += 1;
    if (own.waiting.empty()) {
        m_active.pop_front();
    }
    return chosen;
}

void rank_queue::complete(const entry& finished, duration excess)
{
    const auto found = m_flows.find(finished.item.client_account);
    if (found == m_flows.end() || found->second.running == 0) {
        return; // it started without waiting, and its caller has no account
    }
    flow& own = found->second;
    const duration lowest = -highest_debt * finished.charged;
    own.balance = std::max(own.balance - excess, std::min(lowest, own.balance));
    own.running -= 1;
    if (own.waiting.empty()) {
        drop_if_idle(finished.item.client_account, own);
    }
}

std::size_t rank_queue::size(client_account_id caller) const
{
    const auto found = m_flows.find(caller);
    return found == m_flows.end() ? 0 : found->second.waiting.size();
}

std::size_t rank_queue::waiting_accounts_with(client_account_id caller) const
{
    return m_active.size() + (size(caller) == 0 ? 1 : 0);
}

entry* rank_queue::first_to_expire()
{
    return m_by_start.empty() ? nullptr : &*m_by_start.begin();
}

std::uint64_t rank_queue::head_sequence() const
{
    return m_active.front().waiting.front().sequence;
}

void rank_queue::drop_if_idle(client_account_id caller, flow& candidate)
{
    if (candidate.running == 0) {
        m_flows.erase(caller);
    }
}

} // namespace gypsumstep::admission::detail
