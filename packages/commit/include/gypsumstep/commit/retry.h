/// \file
/// Decides whether and when a failed request is sent again.
#pragma once

#include "gypsumstep/base/random.h"
#include "gypsumstep/base/time.h"
#include "gypsumstep/commit/rules.h"

#include <cstdint>
#include <optional>

namespace gypsumstep::commit {

/// Limits on retries.
struct retry_settings {
    double share{0.1};             ///< retries earned by each new request, at least 0
    double burst{10.0};            ///< maximum of saved retries, at least 1
    duration first_delay{20'000};  ///< upper bound of the first delay
    duration delay_limit{500'000}; ///< upper bound of every delay

    friend bool operator==(const retry_settings&, const retry_settings&) = default;
};

/// A failed request that is to be retried.
struct retry_request {
    attempt previous;
    std::uint32_t retries{0}; ///< number of earlier retries
    time_point deadline;      ///< the client's deadline

    friend auto operator<=>(const retry_request&, const retry_request&) = default;
};

/// The retry budget of one daemon. New requests earn retries, up to a limit.
class retry_budget {
public:
    explicit retry_budget(retry_settings settings);

    /// Adds the share of a retry that a new request earns. Must be called once for each new
    /// request.
    void add_new_request();

    /// Decides when a failed request is sent again. Takes one retry from the budget if it is.
    ///
    /// \return a time from \p now up to the deadline; empty if the request must not be retried
    template <commit_rules Rules = standard_rules>
    [[nodiscard]] std::optional<time_point> decide(const retry_request& request, time_point now,
                                                   random_source& random)
    {
        if (!Rules::may_send_again(request.previous)) {
            return std::nullopt;
        }
        return schedule(request, now, random);
    }

    /// Number of retries left in the budget, in [0, burst].
    [[nodiscard]] double available() const { return m_available; }

private:
    [[nodiscard]] std::optional<time_point> schedule(const retry_request& request, time_point now,
                                                     random_source& random);

    retry_settings m_settings;
    double m_available;
};

} // namespace gypsumstep::commit
