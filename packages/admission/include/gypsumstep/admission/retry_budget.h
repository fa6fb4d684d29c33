/// \file
/// Bounds retries to a share of fresh work.
#pragma once

#include "gypsumstep/base/rank.h"

#include <array>

namespace gypsumstep::admission {

/// Settings of a retry_budget.
struct retry_settings {
    double share{0.1};    ///< retries allowed for each fresh request
    double highest{10.0}; ///< retries that may be saved up

    friend bool operator==(const retry_settings&, const retry_settings&) = default;
};

/// A token bucket for each rank, so that retries of a flooded rank leave those of the
/// others alone. It is filled by fresh requests and emptied by retries, so that an
/// outage never multiplies the load.
class retry_budget {
public:
    explicit retry_budget(retry_settings settings = {});

    /// Counts a request that is sent for the first time.
    void fresh_request(rank level);

    /// Takes a token; false if the retry must not be made.
    [[nodiscard]] bool try_retry(rank level);

private:
    retry_settings m_settings;
    std::array<double, rank_count> m_tokens{};
};

} // namespace gypsumstep::admission
