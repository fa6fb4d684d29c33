/// \file
/// Decides whether and when a failed request is sent again.
#pragma once

#include "gypsumstep/base/random.h"
#include "gypsumstep/base/time.h"
#include "gypsumstep/commit/rules.h"

#include <cstdint>
#include <optional>

namespace gypsumstep::commit {

/// Limits on sending again.
struct retry_settings {
    double share{0.1};             ///< retries per fresh request, at least 0
    double burst{10.0};            ///< retries that may be saved up, at least 1
    duration first_delay{20'000};  ///< upper bound of the first delay
    duration delay_limit{500'000}; ///< upper bound of every delay

    friend bool operator==(const retry_settings&, const retry_settings&) = default;
};

/// A failed request that asks to be sent again.
struct retry_request {
    attempt previous;
    std::uint32_t retries{0}; ///< how often it was sent again already
    time_point deadline;      ///< the caller's

    friend auto operator<=>(const retry_request&, const retry_request&) = default;
};

/// The budget of one daemon: fresh requests earn retries, up to a limit.
class retry_budget {
public:
    explicit retry_budget(retry_settings settings);

    /// Earns a share of a retry; called once for each fresh request.
    void add_fresh_request();

    /// The moment at which to send again, or nothing if it must not be.
    ///
    /// \return a time from \p now up to the deadline; spends from the budget
    template <commit_rules Rules = standard_rules>
    [[nodiscard]] std::optional<time_point> decide(const retry_request& request, time_point now,
                                                   random_source& random)
    {
        if (!Rules::may_send_again(request.previous)) {
            return std::nullopt;
        }
        return schedule(request, now, random);
    }

    /// Retries that may be sent at once, in [0, burst].
    [[nodiscard]] double available() const { return m_available; }

private:
    [[nodiscard]] std::optional<time_point> schedule(const retry_request& request, time_point now,
                                                     random_source& random);

    retry_settings m_settings;
    double m_available;
};

} // namespace gypsumstep::commit
