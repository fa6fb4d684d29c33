// Tests of session tokens and declared statement classes.
#include "gypsumstep/session/setting_statement.h"
#include "gypsumstep/session/statement_class.h"

#include <catch2/catch.hpp>

using namespace gypsumstep;
using namespace gypsumstep::session;

TEST_CASE("a token is the same after parsing its text form, and its positions never go back")
{
    token original;
    CHECK(original.advance("ledger-1", {term{2}, 5}));
    CHECK_FALSE(original.advance("ledger-1", {term{1}, 900}));
    CHECK(original.advance("catalogue", {term{1}, 7}));
    const auto parsed = token::parse(original.text());
    REQUIRE(parsed.has_value());
    CHECK(parsed.value() == original);
    CHECK(parsed.value().position_in("ledger-1") == log_position{term{2}, 5});
    CHECK_FALSE(parsed.value().position_in("other").has_value());
}

TEST_CASE("malformed tokens are refused")
{
    const std::string oversized(token::max_token_bytes + 1, 'x');
    for (const auto& text : {std::string{"a"}, std::string{"=1/2"}, std::string{"a=1"},
                             std::string{"a=1/2;b"}, std::string{"a=x/y"}, oversized}) {
        CHECK(token::parse(text).has_error());
    }
}

TEST_CASE("an undeclared statement is a write of rank last and not idempotent")
{
    const statement_class undeclared;
    CHECK(undeclared.mode == access_mode::write);
    CHECK(undeclared.priority == rank::last);
    CHECK_FALSE(undeclared.idempotent);
}

TEST_CASE("settings are applied, shown and validated")
{
    session_settings settings;
    CHECK(apply_setting(settings, "rank", "urgent").has_value());
    CHECK(apply_setting(settings, "max_age_ms", "1500").has_value());
    CHECK(settings.declared.max_age == duration{1500ms});
    CHECK(show_setting(settings, "rank").value() == "urgent");
    CHECK(show_setting(settings, "max_age_ms").value() == "1500");
    for (const auto& [name, value] :
         std::vector<std::pair<std::string, std::string>>{{"rank", "first"},
                                                          {"mode", ""},
                                                          {"max_age_ms", "-1"},
                                                          {"deadline_ms", "1s"},
                                                          {"idempotent", "maybe"},
                                                          {"session", "x"},
                                                          {"colour", "red"}}) {
        INFO(name);
        CHECK(apply_setting(settings, name, value).has_error());
    }
}

TEST_CASE("only complete SET and SHOW statements of proxy settings are recognised")
{
    const auto set = parse_setting_statement("set gypsumstep.request_key = 'it''s 7' ;");
    REQUIRE(set.has_value());
    CHECK(set->name == "request_key");
    CHECK(set->value == "it's 7");
    CHECK(parse_setting_statement("SHOW gypsumstep.session")->name == "session");
    for (const auto* sql : {"SET search_path = x", "SET gypsumstep.mode", "SELECT 1",
                            "SET gypsumstep.mode = read; DROP TABLE orders", ""}) {
        INFO(sql);
        CHECK_FALSE(parse_setting_statement(sql).has_value());
    }
}

TEST_CASE("settings are read from startup options")
{
    using pairs = std::vector<std::pair<std::string, std::string>>;
    CHECK(parse_startup_options("-c gypsumstep.mode=read -cgypsumstep.request_key=a\\ b -c x=1") ==
          pairs{{"mode", "read"}, {"request_key", "a b"}});
}
