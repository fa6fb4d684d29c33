#include "database.h"

#include <sqlite3.h>

#include <algorithm>
#include <cctype>
#include <utility>

namespace gypsumstep::standin {
namespace {

struct statement_deleter {
    void operator()(sqlite3_stmt* statement) const { sqlite3_finalize(statement); }
};
using statement_handle = std::unique_ptr<sqlite3_stmt, statement_deleter>;

std::string first_word(std::string_view sql)
{
    const auto is_letter = [](char c) { return std::isalpha(static_cast<unsigned char>(c)) != 0; };
    const auto begin = std::find_if(sql.begin(), sql.end(), is_letter);
    std::string word{begin, std::find_if_not(begin, sql.end(), is_letter)};
    std::transform(word.begin(), word.end(), word.begin(),
                   [](unsigned char c) { return static_cast<char>(std::toupper(c)); });
    return word;
}

std::string command_tag(const std::string& word, std::size_t rows, int changes)
{
    if (word == "INSERT") {
        return "INSERT 0 " + std::to_string(changes);
    }
    if (word == "UPDATE" || word == "DELETE") {
        return word + " " + std::to_string(changes);
    }
    return word == "SELECT" ? "SELECT " + std::to_string(rows) : word;
}

void bind_parameters(sqlite3_stmt* statement, const parameter_list& parameters)
{
    for (std::size_t i = 0; i < parameters.size(); ++i) {
        const std::string name = "$" + std::to_string(i + 1);
        const int index = sqlite3_bind_parameter_index(statement, name.c_str());
        if (index == 0 || !parameters[i]) {
            continue;
        }
        sqlite3_bind_text(statement, index, parameters[i]->data(),
                          static_cast<int>(parameters[i]->size()), SQLITE_TRANSIENT); // NOLINT
    }
}

std::vector<std::optional<std::string>> read_row(sqlite3_stmt* statement)
{
    std::vector<std::optional<std::string>> row;
    for (int i = 0; i < sqlite3_column_count(statement); ++i) {
        const auto* bytes = static_cast<const char*>(sqlite3_column_blob(statement, i));
        if (sqlite3_column_type(statement, i) == SQLITE_NULL) {
            row.emplace_back(std::nullopt);
            continue;
        }
        bytes = reinterpret_cast<const char*>(sqlite3_column_text(statement, i)); // NOLINT
        row.emplace_back(
            std::string{bytes, static_cast<std::size_t>(sqlite3_column_bytes(statement, i))});
    }
    return row;
}

bool is_transaction_word(const std::string& word)
{
    return word == "BEGIN" || word == "COMMIT" || word == "END" || word == "ROLLBACK";
}

} // namespace

database_session::database_session(const std::string& name)
{
    const std::string uri = "file:" + name + "?mode=memory&cache=shared";
    sqlite3_open_v2(uri.c_str(), &m_handle,
                    SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_URI, nullptr);
}

database_session::~database_session()
{
    sqlite3_close_v2(m_handle);
}

statement_result database_session::run(std::string_view sql, const parameter_list& parameters,
                                       bool writes_allowed)
{
    statement_result result;
    sqlite3_stmt* raw = nullptr;
    const char* tail = nullptr;
    const int prepared =
        sqlite3_prepare_v2(m_handle, sql.data(), static_cast<int>(sql.size()), &raw, &tail);
    const statement_handle statement{raw};
    result.consumed = tail == nullptr ? sql.size() : static_cast<std::size_t>(tail - sql.data());
    if (prepared != SQLITE_OK) {
        result.status =
            prepared == SQLITE_LOCKED ? statement_status::locked : statement_status::failed;
        result.message = sqlite3_errmsg(m_handle);
        return result;
    }
    if (raw == nullptr) {
        return result;
    }
    const std::string word = first_word(sql);
    const bool changes_data = sqlite3_stmt_readonly(raw) == 0 && !is_transaction_word(word);
    if (changes_data && !writes_allowed) {
        result.status = statement_status::write_refused;
        return result;
    }
    bind_parameters(raw, parameters);
    result.is_query = sqlite3_column_count(raw) > 0;
    for (int i = 0; i < sqlite3_column_count(raw); ++i) {
        result.columns.emplace_back(sqlite3_column_name(raw, i));
    }
    int code = sqlite3_step(raw);
    while (code == SQLITE_ROW) {
        result.rows.push_back(read_row(raw));
        code = sqlite3_step(raw);
    }
    if (code != SQLITE_DONE) {
        const bool locked = (code & 0xff) == SQLITE_LOCKED || (code & 0xff) == SQLITE_BUSY;
        result.status = locked ? statement_status::locked : statement_status::failed;
        result.unique_violation = code == SQLITE_CONSTRAINT;
        result.message = sqlite3_errmsg(m_handle);
        return result;
    }
    if (changes_data) {
        char* expanded = sqlite3_expanded_sql(raw);
        m_pending.emplace_back(expanded);
        sqlite3_free(expanded);
    }
    result.tag = command_tag(word, result.rows.size(), sqlite3_changes(m_handle));
    if (word == "ROLLBACK") {
        m_pending.clear();
    }
    record_end_of_transaction();
    return result;
}

bool database_session::in_transaction() const
{
    return sqlite3_get_autocommit(m_handle) == 0;
}

void database_session::roll_back()
{
    m_pending.clear();
    if (in_transaction()) {
        sqlite3_exec(m_handle, "ROLLBACK", nullptr, nullptr, nullptr);
    }
}

std::vector<std::string> database_session::take_committed()
{
    return std::exchange(m_committed, {});
}

void database_session::record_end_of_transaction()
{
    if (in_transaction()) {
        return;
    }
    m_committed.insert(m_committed.end(), m_pending.begin(), m_pending.end());
    m_pending.clear();
}

} // namespace gypsumstep::standin
