#include "soak_client.h"

#include <QHostAddress>

#include <utility>

namespace gypsumstep::soak {
namespace {

/// Longest pauses between operations and within transactions.
constexpr duration longest_rest = 60ms;
constexpr duration longest_pause = 20ms;

/// Longest pause before a lost session is opened again.
constexpr duration longest_reconnect = 200ms;

/// Shares of operations of each kind.
constexpr double share_write = 0.25;
constexpr double share_transaction = 0.3;
constexpr double share_prepared = 0.2;
constexpr double share_set = 0.1;
constexpr double share_rollback = 0.15;
constexpr double share_new_session = 0.05;

/// Share of statements during which the client leaves, and the longest time until it does.
constexpr double share_leave = 0.02;
constexpr duration longest_until_leave = 8ms;

constexpr std::uint64_t items = 50;

} // namespace

soak_client::soak_client(std::uint64_t number, std::uint64_t seed, soak_route route,
                         choose_port port, oracle& judge)
    : m_number{number}, m_random{seed}, m_route{std::move(route)}, m_port{std::move(port)},
      m_oracle{judge}
{
    open_session();
}

soak_client::~soak_client()
{
    if (m_socket) {
        m_socket->disconnect(this);
    }
}

void soak_client::rest(duration longest, std::function<void()> then)
{
    const auto pause = std::chrono::duration_cast<std::chrono::milliseconds>(
        m_random.between(duration{0}, longest));
    QTimer::singleShot(pause, this, [this, generation = m_generation, then = std::move(then)] {
        if (generation == m_generation) {
            then();
        }
    });
}

void soak_client::open_session()
{
    ++m_generation;
    m_started = m_waiting = false;
    m_values.clear();
    m_decoder = {};
    m_steps.clear();
    m_session = m_number * 100'000 + m_generation;
    m_socket = std::make_unique<QTcpSocket>();
    QTcpSocket* const socket = m_socket.get();
    connect(socket, &QTcpSocket::connected, this,
            [this, socket] { socket->write(("START " + m_route.database + "\r\n").c_str()); });
    connect(socket, &QTcpSocket::readyRead, this, [this] { read(); });
    connect(socket, &QTcpSocket::errorOccurred, this, [this] { lose_session(); });
    socket->connectToHost(QHostAddress::LocalHost, m_port());
}

void soak_client::lose_session()
{
    if (!m_socket) {
        return;
    }
    m_socket->disconnect(this);
    m_socket.release()->deleteLater();
    if (m_waiting) {
        m_oracle.cut_off(m_pending_id, m_sent_at);
    }
    if (m_waiting || m_in_transaction) {
        end_operation(m_commit_sent ? attempt_end::unknown : attempt_end::promised);
    }
    ++m_generation;
    if (!m_stopping) {
        rest(longest_reconnect, [this] { open_session(); });
    }
}

void soak_client::read()
{
    const QByteArray bytes = m_socket->readAll();
    m_decoder.feed({bytes.data(), static_cast<std::size_t>(bytes.size())});
    const std::uint64_t generation = m_generation;
    while (generation == m_generation) {
        const auto content = m_decoder.next();
        if (content.has_error()) {
            m_oracle.violated("MIXED: malformed answer: " + content.error().message);
            lose_session();
            return;
        }
        if (!content.value()) {
            return;
        }
        on_answer(*content.value());
    }
}

void soak_client::on_answer(const statement::answer& content)
{
    if (!m_started) {
        if (!content.ok()) {
            lose_session();
            return;
        }
        m_started = true;
        rest(longest_rest, [this] { plan_operation(); });
        return;
    }
    if (!m_waiting) {
        m_oracle.violated("MIXED: an answer to nothing");
        lose_session();
        return;
    }
    m_waiting = false;
    if (content.ok()) {
        on_step_done(content);
        return;
    }
    const bool promised = statement::guarantees_no_effect(content.error);
    fail_operation(promised || !m_commit_sent ? attempt_end::promised : attempt_end::unknown);
}

void soak_client::plan_operation()
{
    if (m_stopping) {
        m_socket->disconnect(this);
        m_socket.release()->deleteLater();
        ++m_generation;
        return;
    }
    if (m_random.chance(share_new_session)) {
        m_socket->write("QUIT\r\n");
        m_socket->flush();
        m_socket->disconnect(this);
        m_socket.release()->deleteLater();
        open_session();
        return;
    }
    m_steps.clear();
    m_next_step = 0;
    m_in_transaction = m_wrote = m_commit_sent = false;
    m_attempt = m_number * 1'000'000 + m_next_id;
    const auto item = [this] { return std::to_string(m_random.below(items)); };
    const auto add_item = [&](bool writes) {
        const std::string text =
            writes ? "WRITE " + item() + " d" + std::to_string(m_next_id) : "READ " + item();
        m_steps.push_back({text, text, "", true, writes});
    };
    if (m_random.chance(share_set)) {
        const std::string name = "v" + std::to_string(m_random.below(2));
        m_steps.push_back({"SET " + name + ' ' + item(), "", "", false, false});
    }
    if (m_random.chance(share_transaction)) {
        const bool read_only = m_random.chance(0.3);
        m_in_transaction = true;
        m_steps.push_back({read_only ? "BEGIN READ" : "BEGIN", "", "", false, false});
        for (std::uint64_t count = 1 + m_random.below(4); count > 0; --count) {
            add_item(!read_only && m_random.chance(0.5));
        }
        const bool rolls_back = m_random.chance(share_rollback);
        m_steps.push_back({rolls_back ? "ROLLBACK" : "COMMIT", rolls_back ? "" : "COMMIT", "",
                           !rolls_back, false});
    }
    else if (m_random.chance(share_prepared)) {
        plan_prepared(m_random.chance(share_write));
    }
    else {
        add_item(m_random.chance(share_write));
    }
    m_began_at = std::chrono::steady_clock::now();
    send_next();
}

void soak_client::plan_prepared(bool writes)
{
    // Names collide between clients; shapes differ.
    const std::string mode = writes ? "WRITE" : "READ";
    const std::string shape = mode + " q" + std::to_string(m_random.below(4));
    const std::string arguments = std::to_string(m_random.below(items)) +
                                  (writes ? " d" + std::to_string(m_next_id) : std::string{});
    m_steps.push_back({"PREPARE s1 " + shape, "", "", false, false});
    m_steps.push_back({"EXECUTE s1 " + arguments, "EXECUTE " + arguments, shape, true, writes});
}

void soak_client::send_next()
{
    const step& next = m_steps.at(m_next_step);
    m_pending_id = "c" + std::to_string(m_number) + '-' + std::to_string(m_next_id++);
    if (!m_in_transaction) {
        m_began_at = std::chrono::steady_clock::now();
    }
    if (next.forwarded) {
        m_oracle.sent({m_pending_id, next.known_text, next.shape, m_session, m_attempt,
                       m_route.rule, m_began_at, m_values, next.writes, m_in_transaction});
    }
    m_wrote = m_wrote || next.writes;
    m_commit_sent =
        m_commit_sent || (m_in_transaction ? next.text == "COMMIT" && m_wrote : next.writes);
    m_waiting = true;
    m_sent_at = std::chrono::steady_clock::now();
    const std::string line = "QUERY " + m_pending_id + ' ' + next.text + "\r\n";
    m_socket->write(line.data(), static_cast<qint64>(line.size()));
    m_socket->flush();
    if (m_random.chance(share_leave)) {
        rest(longest_until_leave, [this] { leave(); });
    }
}

void soak_client::leave()
{
    if (!m_waiting) {
        return;
    }
    fail_operation(m_commit_sent ? attempt_end::unknown : attempt_end::promised);
}

void soak_client::on_step_done(const statement::answer& content)
{
    const step& done = m_steps.at(m_next_step);
    if (done.forwarded) {
        m_oracle.answered(m_pending_id, content);
    }
    if (done.text.starts_with("SET ")) {
        const std::size_t blank = done.text.find(' ', 4);
        m_values[done.text.substr(4, blank - 4)] = done.text.substr(blank + 1);
    }
    if (done.text == "ROLLBACK") {
        m_wrote = false;
    }
    if (++m_next_step < m_steps.size()) {
        rest(m_in_transaction ? longest_pause : duration{0}, [this] { send_next(); });
        return;
    }
    ++(m_wrote ? m_writes_done : m_reads_done);
    end_operation(m_wrote ? attempt_end::acknowledged : attempt_end::promised);
    rest(longest_rest, [this] { plan_operation(); });
}

void soak_client::fail_operation(attempt_end how)
{
    end_operation(how);
    // Nothing that the session still receives counts any more.
    m_socket->disconnect(this);
    m_socket->disconnectFromHost();
    m_socket.release()->deleteLater();
    ++m_generation;
    if (!m_stopping) {
        rest(longest_reconnect, [this] { open_session(); });
    }
}

void soak_client::end_operation(attempt_end how)
{
    m_oracle.ended(m_attempt, how);
    m_waiting = m_in_transaction = false;
}

} // namespace gypsumstep::soak
