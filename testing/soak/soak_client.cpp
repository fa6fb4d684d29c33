#include "soak_client.h"

#include <QHostAddress>

#include <utility>

namespace gypsumstep::soak {
namespace {

/// Longest pauses between operations and between the statements of a transaction.
constexpr duration longest_think_time = 60ms;
constexpr duration longest_step_pause = 20ms;

/// Longest pause before a new session replaces a lost one.
constexpr duration longest_reconnect = 200ms;

/// Probabilities of the kinds of operations.
constexpr double share_write = 0.25;
constexpr double share_transaction = 0.3;
constexpr double share_prepared = 0.2;
constexpr double share_shape_with_blanks = 0.3;
constexpr double share_set = 0.1;
constexpr double share_rollback = 0.15;
constexpr double share_new_session = 0.05;

/// Probability that the client disconnects while a statement runs, and the longest time until
/// it does.
constexpr double share_disconnect = 0.02;
constexpr duration longest_until_disconnect = 8ms;

constexpr std::uint64_t items = 50;

} // namespace

soak_client::soak_client(std::uint64_t number, std::uint64_t seed, soak_route route,
                         choose_port port, oracle& run_oracle)
    : m_number{number}, m_random{seed}, m_route{std::move(route)}, m_port{std::move(port)},
      m_oracle{run_oracle}
{
    open_session();
}

soak_client::~soak_client()
{
    if (m_socket) {
        m_socket->disconnect(this);
    }
}

void soak_client::run_after_pause(duration longest, std::function<void()> action)
{
    const auto pause = std::chrono::duration_cast<std::chrono::milliseconds>(
        m_random.between(duration{0}, longest));
    QTimer::singleShot(pause, this, [this, generation = m_generation, action = std::move(action)] {
        if (generation == m_generation) {
            action();
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
        end_operation(m_commit_sent ? attempt_outcome::unknown : attempt_outcome::no_effect);
    }
    ++m_generation;
    if (!m_stopping) {
        run_after_pause(longest_reconnect, [this] { open_session(); });
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
        run_after_pause(longest_think_time, [this] { plan_operation(); });
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
    const bool guarantees_no_effect = statement::guarantees_no_effect(content.error);
    fail_operation(guarantees_no_effect || !m_commit_sent ? attempt_outcome::no_effect
                                                          : attempt_outcome::unknown);
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
    // All clients use the same statement name with different texts, so that a mix-up shows.
    const std::string mode = writes ? "WRITE" : "READ";
    std::string shape = mode + " q" + std::to_string(m_random.below(4));
    if (m_random.chance(share_shape_with_blanks)) {
        shape += " WRITE q" + std::to_string(m_random.below(4));
    }
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
        m_oracle.sent({m_pending_id, next.server_text, next.shape, m_session, m_attempt,
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
    if (m_random.chance(share_disconnect)) {
        run_after_pause(longest_until_disconnect, [this] { disconnect_early(); });
    }
}

void soak_client::disconnect_early()
{
    if (!m_waiting) {
        return;
    }
    fail_operation(m_commit_sent ? attempt_outcome::unknown : attempt_outcome::no_effect);
}

void soak_client::on_step_done(const statement::answer& content)
{
    const step& done = m_steps.at(m_next_step);
    if (done.forwarded) {
        m_oracle.answered(m_pending_id, content);
    }
    if (done.text.starts_with("SET ")) {
        const std::size_t space = done.text.find(' ', 4);
        m_values[done.text.substr(4, space - 4)] = done.text.substr(space + 1);
    }
    if (done.text == "ROLLBACK") {
        m_wrote = false;
    }
    if (++m_next_step < m_steps.size()) {
        run_after_pause(m_in_transaction ? longest_step_pause : duration{0},
                        [this] { send_next(); });
        return;
    }
    ++(m_wrote ? m_writes_done : m_reads_done);
    end_operation(m_wrote ? attempt_outcome::acknowledged : attempt_outcome::no_effect);
    run_after_pause(longest_think_time, [this] { plan_operation(); });
}

void soak_client::fail_operation(attempt_outcome outcome)
{
    end_operation(outcome);
    // Answers that the session still receives are ignored.
    m_socket->disconnect(this);
    m_socket->disconnectFromHost();
    m_socket.release()->deleteLater();
    ++m_generation;
    if (!m_stopping) {
        run_after_pause(longest_reconnect, [this] { open_session(); });
    }
}

void soak_client::end_operation(attempt_outcome outcome)
{
    m_oracle.attempt_ended(m_attempt, outcome);
    m_waiting = m_in_transaction = false;
}

} // namespace gypsumstep::soak
