#include "gypsumstep/admission/detail/rank_queue.h"

#include <algorithm>

namespace gypsumstep::admission::detail {

namespace {

constexpr int max_debt_requests = 64; // in charged estimates; bounds the rounds that pop() may take

} // namespace

void rank_queue::push(entry& added, duration quantum)
{
    flow& account_flow = m_flows[added.item.client_account];
    if (account_flow.waiting.empty()) {
        if (account_flow.running == 0) {
            account_flow.balance = quantum;
        }
        m_active.push_back(account_flow);
    }
    account_flow.waiting.push_back(added);
    m_by_start.insert(added);
}

void rank_queue::remove(entry& removed)
{
    flow& account_flow = m_flows.at(removed.item.client_account);
    account_flow.waiting.erase(account_flow.waiting.iterator_to(removed));
    m_by_start.erase(m_by_start.iterator_to(removed));
    if (account_flow.waiting.empty()) {
        m_active.erase(m_active.iterator_to(account_flow));
        drop_if_idle(removed.item.client_account, account_flow);
    }
}

entry& rank_queue::pop(duration quantum)
{
    while (m_active.front().balance <= duration{0}) {
        flow& skipped = m_active.front();
        skipped.balance += quantum;
        m_active.pop_front();
        m_active.push_back(skipped);
    }
    flow& account_flow = m_active.front();
    entry& chosen = account_flow.waiting.front();
    account_flow.waiting.pop_front();
    m_by_start.erase(m_by_start.iterator_to(chosen));
    account_flow.balance -= chosen.charged;
    account_flow.running += 1;
    if (account_flow.waiting.empty()) {
        m_active.pop_front();
    }
    return chosen;
}

void rank_queue::complete(const entry& finished, duration excess)
{
    const auto found = m_flows.find(finished.item.client_account);
    if (found == m_flows.end() || found->second.running == 0) {
        return; // the request started without waiting, and its client account has no flow
    }
    flow& account_flow = found->second;
    const duration lowest = -max_debt_requests * finished.charged;
    account_flow.balance =
        std::max(account_flow.balance - excess, std::min(lowest, account_flow.balance));
    account_flow.running -= 1;
    if (account_flow.waiting.empty()) {
        drop_if_idle(finished.item.client_account, account_flow);
    }
}

std::size_t rank_queue::size(client_account_id account) const
{
    const auto found = m_flows.find(account);
    return found == m_flows.end() ? 0 : found->second.waiting.size();
}

std::size_t rank_queue::waiting_accounts_with(client_account_id account) const
{
    return m_active.size() + (size(account) == 0 ? 1 : 0);
}

entry* rank_queue::first_to_expire()
{
    return m_by_start.empty() ? nullptr : &*m_by_start.begin();
}

std::uint64_t rank_queue::head_sequence() const
{
    return m_active.front().waiting.front().sequence;
}

void rank_queue::drop_if_idle(client_account_id account, flow& account_flow)
{
    if (account_flow.running == 0) {
        m_flows.erase(account);
    }
}

} // namespace gypsumstep::admission::detail
