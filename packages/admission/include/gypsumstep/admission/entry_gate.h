/// \file
/// Early refusal, at the entry daemon, of requests that a home would refuse.
#pragma once

#include "gypsumstep/admission/load_report.h"
#include "gypsumstep/admission/request.h"
#include "gypsumstep/base/ids.h"

#include <map>
#include <optional>

namespace gypsumstep::admission {

/// Identifies the queue of one home for one server.
struct home_queue {
    server_id server;
    daemon_id home;

    friend auto operator<=>(const home_queue&, const home_queue&) = default;
};

/// Stores the load reports that homes send with their answers, and refuses requests by them.
///
/// Reports are aged: the time since a report was received is subtracted from its estimated wait,
/// and a report that is too old is ignored. A few requests are sent regardless as probes, because
/// their answers carry new reports.
class entry_gate {
public:
    /// Stores the latest report of a queue.
    void add_report(home_queue queue, const load_report& report, time_point now);

    /// Discards the report of a queue.
    void remove(home_queue queue);

    /// Returns a refusal if the home would refuse the request, and nullopt if it should be sent.
    /// \param deadline if absent, a request is refused only because the queue is full or the home
    ///     does not accept new work
    [[nodiscard]] std::optional<refused> check(home_queue queue, rank level,
                                               std::optional<time_point> deadline, time_point now);

    /// The report of a queue, aged to \p now; nullopt if there is none or it is too old.
    [[nodiscard]] std::optional<load_report> current(home_queue queue, time_point now) const;

private:
    struct queue_state {
        load_report report;
        time_point received;
        std::array<time_point, rank_count> next_probe{};
    };

    std::map<home_queue, queue_state> m_queues;
};

} // namespace gypsumstep::admission
