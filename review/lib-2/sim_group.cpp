#include "sim_group.h"

#include "line_protocol.h"

#include <QHostAddress>

#include <algorithm>
#include <utility>

namespace review {
namespace {

using namespace gypsumstep;
using statement::error_class;

constexpr std::chrono::milliseconds shortest_run{1};
constexpr int longest_further_run_ms = 4;

/// How often the replicas' lag changes.
constexpr std::chrono::milliseconds lag_interval{300};

} // namespace

sim_group::sim_group(group_options options, group_events events)
    : m_options{std::move(options)}, m_events{std::move(events)}
{
    for (std::size_t index = 0; index < server_count; ++index) {
        auto created = std::make_unique<server>();
        created->name = m_options.service + "-i" + std::to_string(index);
        created->index = index;
        created->leads = index == 0;
        server* const member = created.get();
        connect(&created->listener, &QTcpServer::newConnection, this,
                [this, member] { accept(*member); });
        (void)created->listener.listen(QHostAddress::LocalHost, 0);
        m_servers.push_back(std::move(created));
    }
    connect(&m_lag_timer, &QTimer::timeout, this, [this] { vary_lag(); });
    m_lag_timer.start(lag_interval);
    vary_lag();
}

sim_group::~sim_group()
{
    for (const auto& member : m_servers) {
        while (!member->connections.empty()) {
            close(*member->connections.begin()->second);
        }
    }
}

const std::string& sim_group::name_of(std::size_t index) const
{
    return m_servers.at(index)->name;
}

std::uint16_t sim_group::port_of(std::size_t index) const
{
    return m_servers.at(index)->listener.serverPort();
}

bool sim_group::is_primary(std::size_t index) const
{
    return m_servers.at(index)->leads;
}

bool sim_group::is_paused(std::size_t index) const
{
    return m_servers.at(index)->paused;
}

std::size_t sim_group::primary() const
{
    const auto found = std::find_if(m_servers.begin(), m_servers.end(),
                                    [](const auto& member) { return member->leads; });
    return found == m_servers.end() ? 0 : (*found)->index;
}

std::set<std::string> sim_group::log_of(std::size_t index) const
{
    std::set<std::string> ids;
    for (const entry& each : m_servers.at(index)->log) {
        ids.insert(each.ids.begin(), each.ids.end());
    }
    return ids;
}

void sim_group::set_dark(std::size_t index, bool dark)
{
    server& member = *m_servers.at(index);
    member.dark = dark;
    if (dark) {
        return;
    }
    std::vector<std::uint64_t> ids;
    for (const auto& [id, conn] : member.connections) {
        ids.push_back(id);
    }
    for (const std::uint64_t id : ids) {
        if (const auto found = member.connections.find(id); found != member.connections.end()) {
            run_next(*found->second);
        }
    }
    if (member.leads) {
        for (const auto& other : m_servers) {
            if (other.get() != &member) {
                schedule_receipt(*other, member.log.size());
            }
        }
    }
}

bool sim_group::promote(const std::string& name)
{
    const auto found = std::find_if(m_servers.begin(), m_servers.end(),
                                    [&](const auto& member) { return member->name == name; });
    if (found == m_servers.end()) {
        return false;
    }
    server* const next = found->get();
    if (!next->leads) {
        QTimer::singleShot(m_options.promotion_time, this, [this, next] { become_primary(*next); });
    }
    return true;
}

void sim_group::become_primary(server& next)
{
    if (next.leads) {
        return;
    }
    const std::uint64_t term = m_term_starts.rbegin()->first + 1;
    m_term_starts[term] = next.log.size();
    for (const auto& other : m_servers) {
        if (other.get() == &next) {
            continue;
        }
        while (other->log.size() > next.log.size() ||
               (!other->log.empty() && other->log.back() != next.log[other->log.size() - 1])) {
            other->log.pop_back();
        }
        other->leads = false;
        for (auto& [id, open] : other->connections) {
            open->lost_lead = open->in_transaction && !open->read_only;
        }
    }
    // Commits that wait at the former primary never get an answer.
    for (const waiting_commit& lost : std::exchange(m_waiting, {})) {
        const auto found = lost.owner->connections.find(lost.connection);
        if (found != lost.owner->connections.end()) {
            close(*found->second);
        }
    }
    next.leads = true;
    next.known_term = term;
    for (const auto& other : m_servers) {
        other->paused = false;
        if (other.get() != &next) {
            schedule_receipt(*other, next.log.size());
        }
    }
    m_events.promoted(next.name, log_of(next.index));
}

void sim_group::accept(server& member)
{
    while (QTcpSocket* const socket = member.listener.nextPendingConnection()) {
        auto accepted = std::make_unique<connection>();
        connection* const conn = accepted.get();
        conn->id = m_next++;
        conn->owner = &member;
        conn->socket = socket;
        member.connections.emplace(conn->id, std::move(accepted));
        connect(socket, &QTcpSocket::readyRead, this, [this, conn] { read(*conn); });
        connect(socket, &QTcpSocket::disconnected, this, [this, conn] { close(*conn); });
    }
}

void sim_group::close(connection& conn)
{
    QTcpSocket* const socket = conn.socket;
    socket->disconnect(this);
    socket->abort();
    socket->deleteLater();
    const std::uint64_t id = conn.id;
    conn.owner->connections.erase(id);
}

void sim_group::read(connection& conn)
{
    const QByteArray bytes = conn.socket->readAll();
    conn.splitter.feed({bytes.data(), static_cast<std::size_t>(bytes.size())});
    for (auto line = conn.splitter.next(); line.has_value() && line.value();
         line = conn.splitter.next()) {
        conn.lines.push_back(std::move(*line.value()));
    }
    run_next(conn);
}

void sim_group::run_next(connection& conn)
{
    if (conn.busy || conn.lines.empty() || conn.owner->dark) {
        return;
    }
    conn.busy = true;
    const bool is_read = conn.lines.front().find(" READ ") != std::string::npos;
    const auto time =
        is_read
            ? m_options.read_time
            : shortest_run + std::chrono::milliseconds{m_random() % (longest_further_run_ms + 1)};
    server* const owner = conn.owner;
    const std::uint64_t id = conn.id;
    QTimer::singleShot(time, this, [this, owner, id] {
        const auto found = owner->connections.find(id);
        if (found == owner->connections.end()) {
            return;
        }
        connection& open = *found->second;
        if (owner->dark) {
            open.busy = false;
            return;
        }
        const std::string line = std::move(open.lines.front());
        open.lines.pop_front();
        run(open, line);
    });
}

/// The connection's next line may run.
void sim_group::finish(connection& conn)
{
    conn.busy = false;
    run_next(conn);
}

void sim_group::run(connection& conn, const std::string& line)
{
    std::string_view rest = line;
    const std::string_view word = adapter::detail::take_word(rest);
    if (word == "START") {
        const std::string_view service = adapter::detail::take_word(rest);
        (void)adapter::detail::take_word(rest);
        if (service != m_options.service || rest != conn.owner->name) {
            conn.socket->write("ERROR ");
            conn.socket->write(
                std::string{adapter::detail::error_code_of(error_class::misrouted)}.c_str());
            conn.socket->write(" refused\r\n");
            conn.socket->disconnectFromHost();
            return;
        }
        conn.started = true;
        conn.socket->write(("READY I " + position_of(*conn.owner) + "\r\n").c_str());
        finish(conn);
        return;
    }
    if (word != "QUERY" || !conn.started) {
        close(conn);
        return;
    }
    const std::string id{adapter::detail::take_word(rest)};
    run_text(conn, id, std::string{rest});
}

void sim_group::run_text(connection& conn, const std::string& id, std::string text)
{
    std::string_view rest = text;
    std::string word{adapter::detail::take_word(rest)};
    if (word == "AFTER") {
        const auto wanted = adapter::detail::parse_position_text(adapter::detail::take_word(rest));
        const server& member = *conn.owner;
        const std::uint64_t term = wanted ? wanted->entry_term.value() : 0;
        const auto next = m_term_starts.upper_bound(term);
        const bool is_known = wanted && term <= member.known_term &&
                              wanted->index <= member.log.size() &&
                              (term == member.known_term || next == m_term_starts.end() ||
                               wanted->index <= next->second);
        if (!is_known) {
            refuse(conn, error_class::lagging);
            return;
        }
        word = adapter::detail::take_word(rest);
    }
    if (conn.lost_lead && word != "ROLLBACK" && !(word == "COMMIT" && conn.writes.empty())) {
        refuse(conn, error_class::read_only);
    }
    else if (conn.failed && word != "ROLLBACK" && word != "COMMIT") {
        refuse(conn, error_class::malformed);
    }
    else if (word == "BEGIN") {
        const bool read_only = rest == "READ";
        if (!read_only && !conn.owner->leads) {
            refuse(conn, error_class::read_only);
            return;
        }
        conn.in_transaction = true;
        conn.read_only = read_only;
        answer(conn, {}, false);
    }
    else if (word == "COMMIT") {
        if (!conn.in_transaction || conn.failed) {
            conn.in_transaction = conn.failed = false;
            conn.writes.clear();
            refuse(conn, error_class::aborted);
            return;
        }
        conn.in_transaction = false;
        m_events.ran(conn.owner->name, id);
        commit(conn, id, std::exchange(conn.writes, {}));
    }
    else if (word == "ROLLBACK") {
        conn.in_transaction = conn.failed = conn.lost_lead = false;
        conn.writes.clear();
        answer(conn, {}, false);
    }
    else if (word == "READ" || word == "WRITE") {
        run_data(conn, id, word == "READ");
    }
    else if (word == "PREPARE") {
        const std::string name{adapter::detail::take_word(rest)};
        conn.prepared[name] = std::string{adapter::detail::take_word(rest)};
        answer(conn, {}, false);
    }
    else if (word == "EXECUTE") {
        const auto found = conn.prepared.find(std::string{adapter::detail::take_word(rest)});
        if (found == conn.prepared.end()) {
            refuse(conn, error_class::unknown_name);
            return;
        }
        run_data(conn, id, found->second == "READ");
    }
    else if (word == "SET" || word == "RESET") {
        if (word == "RESET") {
            conn.prepared.clear();
        }
        answer(conn, {}, false);
    }
    else {
        run_command(conn, word, adapter::detail::parse_number(rest).value_or(0));
    }
}

void sim_group::run_data(connection& conn, const std::string& id, bool is_read)
{
    if (!is_read && (!conn.owner->leads || conn.read_only)) {
        refuse(conn, error_class::read_only);
        return;
    }
    m_events.ran(conn.owner->name, id);
    if (is_read) {
        answer(conn,
               std::vector<std::string>(m_options.read_rows, std::string(m_options.row_bytes, 'x')),
               true);
        return;
    }
    if (conn.in_transaction) {
        conn.writes.push_back(id);
        answer(conn, {}, true);
        return;
    }
    commit(conn, id, {id});
}

void sim_group::commit(connection& conn, const std::string& id, std::vector<std::string> ids)
{
    server& member = *conn.owner;
    if (ids.empty()) {
        answer(conn, {}, true);
        return;
    }
    member.log.push_back({member.known_term, std::move(ids)});
    const std::size_t length = member.log.size();
    for (const auto& other : m_servers) {
        if (other.get() != &member) {
            schedule_receipt(*other, length);
        }
    }
    if (m_options.sync_replicas == 0) {
        answer(conn, {}, true);
        return;
    }
    m_waiting.push_back({&member, conn.id, id, length});
}

void sim_group::schedule_receipt(server& replica, std::size_t length)
{
    QTimer::singleShot(replica.lag, this, [this, &replica, length] { receive(replica, length); });
}

void sim_group::vary_lag()
{
    const auto spread = static_cast<std::uint64_t>((m_options.max_lag - m_options.min_lag).count());
    for (const auto& member : m_servers) {
        member->lag = m_options.min_lag + std::chrono::milliseconds{m_random() % (spread + 1)};
    }
}

void sim_group::receive(server& replica, std::size_t length)
{
    const server& source = *m_servers.at(primary());
    if (replica.leads || replica.paused || replica.dark || source.dark || !source.leads) {
        return;
    }
    length = std::min(length, source.log.size());
    for (std::size_t place = replica.log.size(); place < length; ++place) {
        replica.log.push_back(source.log[place]);
    }
    replica.known_term = source.known_term;
    answer_commits();
}

void sim_group::answer_commits()
{
    for (const waiting_commit& each : std::exchange(m_waiting, {})) {
        const auto holders = static_cast<std::uint32_t>(
            std::count_if(m_servers.begin(), m_servers.end(), [&](const auto& member) {
                return member.get() != each.owner && member->log.size() >= each.length;
            }));
        if (holders < m_options.sync_replicas || each.owner->dark) {
            m_waiting.push_back(each);
            continue;
        }
        const auto found = each.owner->connections.find(each.connection);
        if (found != each.owner->connections.end()) {
            answer(*found->second, {}, true);
        }
    }
}

void sim_group::run_command(connection& conn, const std::string& word, std::uint64_t term)
{
    server& member = *conn.owner;
    if (word == "PAUSE") {
        if (term > member.known_term && !member.leads) {
            member.paused = true;
        }
        m_events.note(member.name + " was paused");
    }
    else if (word == "RESUME") {
        member.paused = false;
        schedule_receipt(member, m_servers.at(primary())->log.size());
        m_events.note(member.name + " was resumed");
    }
    else if (word == "DEMOTE") {
        if (term > member.known_term && member.leads) {
            member.leads = false;
        }
        m_events.note(member.name + " was demoted");
    }
    else if (word != "STATUS") {
        refuse(conn, error_class::malformed);
        return;
    }
    answer(conn,
           {std::string{member.leads ? "primary " : "replica "} +
            std::to_string(member.known_term) + ' ' + position_of(member) + " 0 0 1 " +
            std::to_string(member.connections.size())},
           false);
}

std::string sim_group::position_of(const server& member) const
{
    return std::to_string(member.known_term) + '.' + std::to_string(member.log.size());
}

void sim_group::answer(connection& conn, const std::vector<std::string>& rows, bool is_signed)
{
    std::string bytes;
    for (const std::string& row : rows) {
        bytes += "ROW " + row + "\r\n";
    }
    bytes += "DONE " + (is_signed ? "s" + std::to_string(m_random()) : std::string{"-"}) + "\r\n";
    bytes += std::string{"READY "} +
             (conn.failed           ? "E "
              : conn.in_transaction ? "T "
                                    : "I ") +
             position_of(*conn.owner) + "\r\n";
    conn.socket->write(bytes.data(), static_cast<qint64>(bytes.size()));
    finish(conn);
}

void sim_group::refuse(connection& conn, error_class kind)
{
    conn.failed = conn.in_transaction;
    const std::string bytes = "ERROR " + std::string{adapter::detail::error_code_of(kind)} +
                              " refused\r\nREADY " + (conn.failed ? "E " : "I ") +
                              position_of(*conn.owner) + "\r\n";
    conn.socket->write(bytes.data(), static_cast<qint64>(bytes.size()));
    finish(conn);
}

} // namespace review
