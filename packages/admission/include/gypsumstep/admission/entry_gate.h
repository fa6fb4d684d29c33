/// \file
/// Refuses requests at the entry daemon that a home would refuse.
#pragma once

#include "gypsumstep/admission/load_report.h"
#include "gypsumstep/admission/request.h"
#include "gypsumstep/base/ids.h"

#include <map>
#include <optional>

namespace gypsumstep::admission {

/// One home's queue for one server.
struct home_queue {
    server_id server;
    daemon_id home;

    friend auto operator<=>(const home_queue&, const home_queue&) = default;
};

/// Remembers the load reports that homes sent with their answers.
///
/// A report loses its weight with age: the reported wait shrinks by the time since
/// then, and an old report is ignored. A few requests are let through regardless,
/// so that their answers bring new reports.
class entry_gate {
public:
    /// Stores the latest report on a queue.
    void learn(home_queue queue, const load_report& report, time_point now);

    /// Forgets a queue.
    void forget(home_queue queue);

    /// A refusal if the request has no chance in time; nothing if it should be sent.
    /// \param deadline absent: only a full queue or a leaving server refuses
    [[nodiscard]] std::optional<refused> check(home_queue queue, rank level,
                                               std::optional<time_point> deadline, time_point now);

    /// The report on a queue, aged to \p now; nothing if there is none that counts.
    [[nodiscard]] std::optional<load_report> current(home_queue queue, time_point now) const;

private:
    struct known {
        load_report report;
        time_point received;
        std::array<time_point, rank_count> next_probe{};
    };

    std::map<home_queue, known> m_known;
};

} // namespace gypsumstep::admission
