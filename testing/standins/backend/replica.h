/// \file
/// State of one backend server of the stand-in: role, term, log and data.
#pragma once

#include "database.h"
#include "replica_log.h"

#include "gypsumstep/base/time.h"
#include "gypsumstep/failover/grant_register.h"

#include <QObject>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace gypsumstep::standin {

/// The time now on this process's monotonic clock.
[[nodiscard]] time_point steady_now();

/// What the server is told at start.
struct replica_options {
    std::string name;
    std::uint32_t group_size{3};
    duration apply_lag{0}; ///< a replica shows an entry this long after it holds it
};

/// A server of a group: the primary of a term, or a replica that pulls from one.
class replica : public QObject {
    Q_OBJECT

public:
    explicit replica(replica_options options);

    [[nodiscard]] const replica_options& options() const { return m_options; }
    [[nodiscard]] const std::string& database_name() const { return m_database_name; }
    [[nodiscard]] bool is_primary() const;
    [[nodiscard]] term current_term() const { return m_term; }
    [[nodiscard]] term granted_term() const { return m_register.highest(); }
    [[nodiscard]] log_position last() const { return m_log.last(); }
    [[nodiscard]] log_position applied() const { return m_log.position_at(m_applied); }
    /// Newest position that a majority holds, as far as this primary knows.
    [[nodiscard]] log_position held() const { return m_held; }
    [[nodiscard]] const replica_log& log() const { return m_log; }
    /// How old this server's data may be, on its own clock.
    [[nodiscard]] duration age() const;
    /// Status as one JSON line; \p answer tells what became of a call.
    [[nodiscard]] std::string status(const std::string& answer) const;

    /// Grants \p wanted to \p claim unless it or a higher term went to another.
    bool grant(term wanted, const failover::claim_id& claim);
    /// Becomes the primary of \p wanted if the register allows it.
    failover::promotion_answer promote(term wanted, const failover::claim_id& claim,
                                       log_position at_least);
    /// Sets the primary that this replica pulls from; false if its term is too low.
    bool follow(term wanted, const std::string& primary);

    /// Appends a committed transaction of this primary.
    log_position commit(std::vector<std::string> statements);
    /// Records on the primary what a replica holds in the current term.
    void replica_holds(const std::string& name, log_position position);
    /// Takes entries from the primary of \p from after \p previous; false on a gap.
    bool take_entries(term from, log_position previous, const std::vector<log_entry>& entries);
    /// The primary's last position was \p position at \p asked_at or later.
    void primary_was_at(log_position position, time_point asked_at);
    void set_apply_lag(duration lag) { m_options.apply_lag = lag; }

Q_SIGNALS:
    /// The log of this primary grew.
    void log_grew();
    /// The majority-held position moved.
    void held_moved();
    /// The data was built anew; open sessions must end.
    void data_replaced();

private:
    void update_held();
    void schedule_apply(std::uint64_t index);
    void apply_ready();
    void apply_all();
    void rebuild(std::uint64_t index);
    void fence();
    [[nodiscard]] duration contact_age() const;

    replica_options m_options;
    std::string m_database_name;
    std::unique_ptr<database_session> m_writer;
    replica_log m_log;
    term m_term{0};
    failover::grant_register m_register;
    std::string m_primary_name;
    bool m_primary{false};
    std::uint64_t m_applied{0};
    std::uint64_t m_generation{0};
    log_position m_held;
    log_position m_opening;
    std::map<std::string, log_position> m_replica_positions;
    std::map<std::string, time_point> m_replica_seen;
    time_point m_contact_at{};
    std::deque<std::pair<std::uint64_t, time_point>> m_to_apply;
    std::optional<std::pair<log_position, time_point>> m_primary_mark;
    std::optional<time_point> m_current_at;
};

} // namespace gypsumstep::standin
