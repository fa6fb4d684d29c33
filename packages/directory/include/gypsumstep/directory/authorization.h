/// \file
/// Decides which client account a client acts for, and whether it may use a route.
#pragma once

#include "gypsumstep/accounts/key_digest.h"
#include "gypsumstep/directory/route_table.h"

#include <optional>
#include <string>

namespace gypsumstep::directory {

/// The outcome of checking a client's key.
struct authorization {
    bool granted{false};
    std::string account; ///< empty if the client acts for no account

    friend bool operator==(const authorization&, const authorization&) = default;
};

/// Checks a client's key against the configuration in force.
/// \param key empty if the client sent none
/// \param accounts_required whether clients need an account even if the configuration has no list
///     of them
[[nodiscard]] authorization authorize(const configuration& in_force, const route& used,
                                      const std::optional<accounts::key_digest>& key,
                                      bool accounts_required);

} // namespace gypsumstep::directory
