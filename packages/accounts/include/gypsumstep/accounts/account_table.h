/// \file
/// The client accounts of a configuration, by their keys.
#pragma once

#include "gypsumstep/accounts/key_digest.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace gypsumstep::accounts {

/// A client account: a customer on whose behalf clients send statements.
struct account {
    std::string name;          ///< told to backend servers
    std::uint32_t priority{0}; ///< as configured
    double rate_per_second{0}; ///< operations a second over all daemons; 0 for no limit
    double burst{0};           ///< operations beyond the rate that may start at once
    std::vector<key_digest> keys;

    friend bool operator==(const account&, const account&) = default;
};

/// The outcome of adding an account to a table.
enum class add_outcome : std::uint8_t {
    added,
    duplicate_name, ///< another account has the name; nothing was added
    duplicate_key,  ///< another account has one of the keys, which is valid for neither of them now
};

/// Finds client accounts by the digests of their keys.
class account_table {
public:
    add_outcome add(account added);

    /// Returns the account that holds a key, or nullptr if none or more than one does.
    [[nodiscard]] const account* find(const key_digest& key) const;

    /// Returns the account of that name, or nullptr.
    [[nodiscard]] const account* find_name(std::string_view name) const;

    /// Returns the account's expected share of the traffic of all accounts, judged by their rates.
    /// An account without a rate may send anything and counts as the only one; if none has a
    /// rate, nothing is known and the share is 0.
    [[nodiscard]] double traffic_share(std::string_view name) const;

    [[nodiscard]] const std::map<std::string, account, std::less<>>& accounts() const
    {
        return m_accounts;
    }

    friend bool operator==(const account_table&, const account_table&) = default;

private:
    std::map<std::string, account, std::less<>> m_accounts;
    std::map<key_digest, std::string> m_names; ///< account by key; empty for an ambiguous key
};

} // namespace gypsumstep::accounts
