#include "gypsumstep/accounts/account_table.h"

#include <utility>

namespace gypsumstep::accounts {

add_outcome account_table::add(account added)
{
    if (m_accounts.contains(added.name)) {
        return add_outcome::duplicate_name;
    }
    add_outcome outcome = add_outcome::added;
    for (const key_digest& key : added.keys) {
        const auto [entry, inserted] = m_names.emplace(key, added.name);
        if (!inserted && entry->second != added.name) {
            // Statements must not run for the wrong account, so an ambiguous key lets nobody in.
            entry->second.clear();
            outcome = add_outcome::duplicate_key;
        }
    }
    const std::string name = added.name;
    m_accounts.emplace(name, std::move(added));
    return outcome;
}

const account* account_table::find(const key_digest& key) const
{
    const auto found = m_names.find(key);
    return found == m_names.end() ? nullptr : find_name(found->second);
}

const account* account_table::find_name(std::string_view name) const
{
    const auto found = m_accounts.find(name);
    return found == m_accounts.end() ? nullptr : &found->second;
}

double account_table::traffic_share(std::string_view name) const
{
    const account* const found = find_name(name);
    double total = 0.0;
    for (const auto& [key, entry] : m_accounts) {
        total += entry.rate_per_second;
    }
    if (found == nullptr || total <= 0.0) {
        return 0.0;
    }
    return found->rate_per_second > 0.0 ? found->rate_per_second / total : 1.0;
}

} // namespace gypsumstep::accounts
