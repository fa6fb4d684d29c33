/// \file
/// Judges a backend server by the outcomes of the requests that it was sent.
#pragma once

#include "gypsumstep/base/time.h"

#include <cstdint>

namespace gypsumstep::dispatch {

/// How a request to a server ended.
enum class request_outcome : std::uint8_t {
    answered,    ///< ran, or was refused for a reason that is not a fault of the server
    overloaded,  ///< the server had no capacity although this daemon is below its limit
    failed,      ///< the server ran it and failed
    lost,        ///< the connection was lost or the answer did not come in time
    not_reached, ///< a connection was refused or not accepted in time
};

/// The recent outcomes of the requests to one server, and the decision whether to avoid it.
///
/// Weights decay with time. A server is avoided once a large share of its recent requests failed,
/// or while it sends nothing although an answer is due. An avoided server may get single requests
/// (probes); it is used again after some of them in a row succeeded. The number grows if it failed
/// again shortly after it was used again, so that a flapping server stays avoided.
class server_outcomes {
public:
    /// Records how a request ended.
    void on_outcome(request_outcome outcome, time_point now);

    /// Records that the server sent something, whatever it was.
    void on_sign_of_life() { m_silent = false; }

    /// Records that an answer is due and the server has sent nothing for longer than usual.
    void on_silence(time_point now);

    /// Records that an avoided server was sent a probe.
    void on_probe_sent(time_point now) { m_last_probe = now; }

    /// Returns true if the server should get no requests that can run elsewhere, except probes.
    [[nodiscard]] bool is_avoided() const { return m_avoided; }

    /// Returns true while the server sends nothing although an answer is due.
    [[nodiscard]] bool is_silent() const { return m_silent; }

    /// Returns true if the avoided server may get a probe now. While it is silent, the requests
    /// that it has not answered are its probes.
    [[nodiscard]] bool may_probe(time_point now, bool has_unanswered) const;

    /// Returns the share of the recent requests that failed, from 0 to 1.
    [[nodiscard]] double failure_share() const;

    /// Returns the number of probes in a row that must still succeed; 0 if it is not avoided.
    [[nodiscard]] std::uint32_t missing_successes() const { return m_missing_successes; }

private:
    void decay(time_point now);
    void avoid(time_point now);

    double m_requests{0.0};
    double m_failures{0.0};
    time_point m_weighed_at{};
    bool m_avoided{false};
    bool m_silent{false};
    std::uint32_t m_required_successes{0};
    std::uint32_t m_missing_successes{0};
    time_point m_last_probe{};
    time_point m_used_again_at{};
};

/// A server's response time, by recent and by long-term measurements.
class response_time_estimate {
public:
    /// Records the time from sending a statement to its answer.
    /// \param is_quiet no need to send reads to another region was seen lately
    void on_measured(duration time, time_point now, bool is_quiet = true);

    /// Returns the recent mean. A mean above the long-term one decays towards it while nothing is
    /// measured, so that a server that was slow is tried again.
    [[nodiscard]] duration expected(time_point now) const;

    /// Returns the recent mean as it was last measured.
    [[nodiscard]] duration recent() const { return m_recent; }

    /// Returns a mean with less noise than recent(), to compare with quiet().
    [[nodiscard]] duration steady() const { return m_steady; }

    /// Returns the mean of quiet times. Zero until enough was measured.
    [[nodiscard]] duration quiet() const;

    /// Returns when it was last measured.
    [[nodiscard]] time_point measured_at() const { return m_measured_at; }

private:
    duration m_recent{0};
    duration m_long_term{0};
    duration m_steady{0};
    duration m_quiet{0};
    std::int64_t m_measurements{0}; ///< up to the number that m_steady is the mean of
    std::int64_t m_quiet_measurements{0};
    time_point m_measured_at{};
};

/// Returns the time without any answer after which a server that owes one counts as silent.
/// \param usual its recent response time
[[nodiscard]] duration silence_limit(duration usual);

/// Returns the time after which a read without an answer is sent to a second server (hedged).
/// \param usual the recent response time of the read's server
/// \param statement_timeout the limit of the read
[[nodiscard]] duration hedge_delay(duration usual, duration statement_timeout);

/// Allows retries of reads up to a share of the recent successes, so that retries do not multiply
/// the load when many requests fail.
class retry_budget {
public:
    /// Records a read that succeeded.
    void on_success();

    /// Returns true, and uses one retry up, if a retry is allowed.
    [[nodiscard]] bool try_take();

private:
    static constexpr double max_credit = 20.0; ///< covers the reads in flight on a lost server
    double m_credit{max_credit};
};

} // namespace gypsumstep::dispatch
