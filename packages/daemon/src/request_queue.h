/// \file
/// Queue of requests for one backend server, ordered by admission control.
#pragma once

#include "messages.h"

#include "gypsumstep/admission/server_queue.h"
#include "gypsumstep/fleet/document.h"

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace gypsumstep::daemon {

/// Stores the requests; admission::server_queue decides which of them run, wait or are refused.
class request_queue {
public:
    /// \param server provides the number of slots
    /// \param ranks slot floor and queue limit of each rank
    request_queue(const fleet::server& server,
                  const std::array<fleet::rank_target, rank_count>& ranks);

    /// Adds a request. Returns the reason if it is refused; it is not stored then.
    [[nodiscard]] std::optional<admission::refused> offer(execute_request request, time_point now);

    /// Removes and returns the next request that holds a slot and has not been started.
    [[nodiscard]] std::optional<execute_request> take_ready();

    /// Puts back a request that could not be started yet; it keeps its slot.
    void put_back(execute_request request);

    /// Frees the slot of a request.
    /// \param ok false if the server failed
    void finished(request_id id, duration service_time, bool ok, time_point now);

    /// Removes and returns the requests that can no longer meet their deadline. They did not run.
    [[nodiscard]] std::vector<execute_request> take_expired(time_point now);

    /// Removes and returns every request that has not been started. They did not run.
    [[nodiscard]] std::vector<execute_request> take_all(time_point now);

    /// True if a request holds a slot and waits for a connection.
    [[nodiscard]] bool has_ready() const { return !m_ready.empty(); }

    /// Sets whether new requests are accepted.
    void set_accepting(bool accepting) { m_queue.set_accepting(accepting); }

private:
    void start_next(time_point now);
    [[nodiscard]] std::vector<execute_request> take_waiting(const std::vector<request_id>& ids);

    admission::server_queue m_queue;
    std::unordered_map<request_id, execute_request> m_waiting;
    std::deque<execute_request> m_ready;
};

} // namespace gypsumstep::daemon
