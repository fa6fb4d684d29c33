#include "gypsumstep/backend/connection.h"

#include "encode_result.h"

#include <libpq-fe.h>

#include <array>

namespace gypsumstep::backend {
namespace {

constexpr const char* unnamed_statement = "";

using result_handle = std::unique_ptr<PGresult, decltype(&PQclear)>;

} // namespace

void connection::handle_deleter::operator()(pg_conn* handle) const
{
    PQfinish(handle);
}

connection::connection(const connection_target& target, event_handler on_ready,
                       event_handler on_closed)
    : m_on_ready{std::move(on_ready)}, m_on_closed{std::move(on_closed)}
{
    const std::string port = std::to_string(target.port);
    const std::array<const char*, 8> keywords{
        "hostaddr", "port", "dbname", "user", "sslmode", "gssencmode", "application_name", nullptr};
    const std::array<const char*, 8> values{
        target.address.c_str(), port.c_str(), target.database.c_str(),
        target.user.c_str(),    "disable",    "disable",
        "gypsumstepd",          nullptr};
    m_handle.reset(PQconnectStartParams(keywords.data(), values.data(), 0));
    PQsetnonblocking(m_handle.get(), 1);
    // libpq's default notice processor writes to stderr.
    PQsetNoticeProcessor(
        m_handle.get(), [](void*, const char*) {}, nullptr);
    QMetaObject::invokeMethod(
        this, [this] { enable_notifiers(false, true); }, Qt::QueuedConnection);
}

connection::~connection() = default;

void connection::enable_notifiers(bool read, bool write)
{
    const int socket = m_handle ? PQsocket(m_handle.get()) : -1;
    if (socket < 0) {
        fail();
        return;
    }
    if (!m_read_notifier || m_read_notifier->socket() != socket) {
        m_read_notifier = std::make_unique<QSocketNotifier>(socket, QSocketNotifier::Read);
        m_write_notifier = std::make_unique<QSocketNotifier>(socket, QSocketNotifier::Write);
        connect(m_read_notifier.get(), &QSocketNotifier::activated, this, &connection::on_readable);
        connect(m_write_notifier.get(), &QSocketNotifier::activated, this, [this] {
            if (m_state == connection_state::connecting) {
                poll_connect();
            }
            else {
                flush();
            }
        });
    }
    m_read_notifier->setEnabled(read);
    m_write_notifier->setEnabled(write);
}

void connection::poll_connect()
{
    switch (PQconnectPoll(m_handle.get())) {
    case PGRES_POLLING_READING:
        enable_notifiers(true, false);
        break;
    case PGRES_POLLING_WRITING:
        enable_notifiers(false, true);
        break;
    case PGRES_POLLING_OK:
        m_state = connection_state::idle;
        enable_notifiers(true, false);
        m_on_ready();
        break;
    default:
        fail();
        break;
    }
}

bool connection::send(const work& item)
{
    PGconn* handle = m_handle.get();
    if (item.kind == work_kind::simple) {
        return PQsendQuery(handle, item.sql.c_str()) == 1;
    }
    const auto count = static_cast<int>(item.parameters.size());
    std::vector<Oid> types;
    for (const auto type : item.parameter_types) {
        types.push_back(static_cast<Oid>(type));
    }
    if (item.kind == work_kind::describe) {
        return PQsendPrepare(handle, unnamed_statement, item.sql.c_str(),
                             static_cast<int>(types.size()), types.data()) == 1;
    }
    types.resize(item.parameters.size());
    std::vector<const char*> values;
    std::vector<int> lengths;
    std::vector<int> formats;
    for (std::size_t i = 0; i < item.parameters.size(); ++i) {
        const auto& value = item.parameters[i];
        values.push_back(value ? value->c_str() : nullptr);
        lengths.push_back(value ? static_cast<int>(value->size()) : 0);
        const auto& requested_formats = item.parameter_formats;
        const std::size_t format_index = requested_formats.size() == 1 ? 0 : i;
        formats.push_back(format_index < requested_formats.size() ? requested_formats[format_index]
                                                                  : 0);
    }
    return PQsendQueryParams(handle, item.sql.c_str(), count, types.data(), values.data(),
                             lengths.data(), formats.data(), item.binary_results ? 1 : 0) == 1;
}

void connection::run(const work& item, answer_handler on_answer)
{
    m_state = connection_state::busy;
    m_on_answer = std::move(on_answer);
    m_answer = {};
    m_with_description = item.with_description;
    m_work_kind = item.kind;
    m_prepare_finished = false;
    if (!send(item)) {
        fail();
        return;
    }
    flush();
}

void connection::flush()
{
    const int unsent = PQflush(m_handle.get());
    if (unsent < 0) {
        fail();
        return;
    }
    m_write_notifier->setEnabled(unsent > 0);
}

void connection::on_readable()
{
    if (m_state == connection_state::connecting) {
        poll_connect();
        return;
    }
    if (PQconsumeInput(m_handle.get()) != 1) {
        fail();
        return;
    }
    if (m_state == connection_state::busy) {
        collect_results();
        return;
    }
    // Makes libpq parse parameter values that arrived while no statement was running.
    (void)PQisBusy(m_handle.get());
    if (PQstatus(m_handle.get()) != CONNECTION_OK) {
        fail();
        return;
    }
    if (m_on_idle_input) {
        m_on_idle_input();
    }
}

void connection::collect_results()
{
    while (PQisBusy(m_handle.get()) == 0) {
        const result_handle query_result{PQgetResult(m_handle.get()), &PQclear};
        if (!query_result) {
            finish_work();
            return;
        }
        append_result(query_result.get());
        if (PQstatus(m_handle.get()) != CONNECTION_OK) {
            fail();
            return;
        }
    }
}

void connection::append_result(const pg_result* query_result)
{
    const bool is_error = PQresultStatus(query_result) == PGRES_FATAL_ERROR;
    if (is_error && m_answer.sqlstate.empty()) {
        const char* code = PQresultErrorField(query_result, PG_DIAG_SQLSTATE);
        m_answer.sqlstate = code == nullptr ? "08006" : code;
    }
    if (m_work_kind == work_kind::describe) {
        // The first result completes Prepare; the second one holds the description.
        if (m_prepare_finished || is_error) {
            m_answer.messages += detail::encode_description(query_result);
        }
        return;
    }
    if (m_answer.first_value.empty() && PQntuples(query_result) > 0 &&
        PQnfields(query_result) > 0) {
        m_answer.first_value = PQgetvalue(query_result, 0, 0);
    }
    m_answer.messages += detail::encode_result(query_result, m_with_description);
}

void connection::finish_work()
{
    if (m_work_kind == work_kind::describe && !m_prepare_finished && m_answer.sqlstate.empty()) {
        m_prepare_finished = true;
        if (PQsendDescribePrepared(m_handle.get(), unnamed_statement) != 1) {
            fail();
            return;
        }
        flush();
        return;
    }
    switch (PQtransactionStatus(m_handle.get())) {
    case PQTRANS_IDLE:
        m_answer.state = pgwire::transaction_state::idle;
        break;
    case PQTRANS_INERROR:
        m_answer.state = pgwire::transaction_state::failed;
        break;
    default:
        m_answer.state = pgwire::transaction_state::active;
        break;
    }
    m_state = connection_state::idle;
    const auto handler = std::exchange(m_on_answer, nullptr);
    handler(std::move(m_answer));
}

void connection::cancel()
{
    if (m_state != connection_state::busy) {
        return;
    }
    const std::unique_ptr<PGcancel, decltype(&PQfreeCancel)> request{PQgetCancel(m_handle.get()),
                                                                     &PQfreeCancel};
    std::array<char, 256> reason{};
    PQcancel(request.get(), reason.data(), static_cast<int>(reason.size()));
}

void connection::close()
{
    m_state = connection_state::closed;
    m_read_notifier.reset();
    m_write_notifier.reset();
    m_handle.reset();
}

void connection::fail()
{
    if (m_state == connection_state::closed) {
        return;
    }
    m_state = connection_state::closed;
    if (m_read_notifier) {
        m_read_notifier->setEnabled(false);
        m_write_notifier->setEnabled(false);
    }
    if (const auto handler = std::exchange(m_on_answer, nullptr)) {
        m_answer.connection_lost = true;
        handler(std::move(m_answer));
    }
    if (const auto handler = std::exchange(m_on_closed, nullptr)) {
        handler();
    }
}

std::string connection::parameter(const char* name) const
{
    const char* value = m_handle ? PQparameterStatus(m_handle.get(), name) : nullptr;
    return value == nullptr ? std::string{} : std::string{value};
}

} // namespace gypsumstep::backend
