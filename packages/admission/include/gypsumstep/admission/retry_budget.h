/// \file
/// Limits retries to a share of fresh requests.
#pragma once

#include "gypsumstep/base/rank.h"

#include <array>

namespace gypsumstep::admission {

/// Settings of a retry_budget.
struct retry_settings {
    double share{0.1};       ///< tokens earned by each fresh request
    double max_tokens{10.0}; ///< capacity of the bucket, in retries

    friend bool operator==(const retry_settings&, const retry_settings&) = default;
};

/// A token bucket for each rank, so that retries of a flooded rank do not use up the retries of
/// other ranks. Fresh requests add tokens and each retry takes one, so that an outage does not
/// multiply the load.
class retry_budget {
public:
    explicit retry_budget(retry_settings settings = {});

    /// Reports a request that is sent for the first time.
    void fresh_request(rank level);

    /// Takes a token for a retry; returns false if there is none, and the retry must not be made.
    [[nodiscard]] bool try_retry(rank level);

private:
    retry_settings m_settings;
    std::array<double, rank_count> m_tokens{};
};

} // namespace gypsumstep::admission
