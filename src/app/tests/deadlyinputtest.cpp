#include "app/tests/processfixture.h"

using namespace lavendertally;
using namespace lavendertally::app;

namespace {

/// Time in which entries know each other's evidence.
constexpr framework::Milliseconds SpreadBound{3000};

} // namespace

class DeadlyInputTest : public ProcessFixture
{
protected:
    /// \return answer of entry \p index to a request whose prompt crashes engines
    nlohmann::json askDeadly(std::size_t index, const std::string &id)
    {
        nlohmann::json request = nlohmann::json::parse(body(id, "letter"));
        request["input"]["text"] = id + " " + DeadlyWord;
        request["prompt_parts"] = {"greeting", "tainted"};
        const auto reply =
            m_fleet.post(m_fleet.entries()[index].entry.http, "/v1/requests", request.dump());
        m_status = reply.status;
        const auto answer = nlohmann::json::parse(reply.body, nullptr, false);
        return answer.is_object() ? answer : nlohmann::json{{"outcome", "no answer"}};
    }

    /// \return sum of the incarnations that the host processes of both engines know
    int incarnations()
    {
        return dump(host("writer", "za")).value("incarnation", 0)
            + dump(host("writer", "zb")).value("incarnation", 0);
    }

    int m_status = 0;
};

TEST_F(DeadlyInputTest, PromptCrashesEngines_NoneIsTriedTwiceAndEntriesTellEachOther)
{
    ASSERT_EQ(ask(0, "before", "letter")["outcome"], "done");
    const int start = incarnations();
    const auto first = askDeadly(0, "d1");
    EXPECT_EQ(first["outcome"], "unknown") << first;
    EXPECT_EQ(first["reason"], "prompt_quarantined") << first;
    EXPECT_EQ(first["stages"][0]["attempts"], 1) << first;
    pause(SpreadBound);
    EXPECT_EQ(incarnations(), start + 1);
    const auto second = askDeadly(1, "d2");
    EXPECT_EQ(second["outcome"], "unknown") << second;
    EXPECT_EQ(second["reason"], "prompt_quarantined") << second;
    pause(SpreadBound);
    EXPECT_EQ(incarnations(), start + 2);
    for (const std::size_t entry : {0U, 1U}) {
        const auto refused = askDeadly(entry, "d3-" + std::to_string(entry));
        EXPECT_EQ(m_status, 503);
        EXPECT_EQ(refused["outcome"], "not_run") << refused;
        EXPECT_EQ(refused["reason"], "prompt_quarantined") << refused;
    }
    EXPECT_EQ(ask(0, "after0", "letter")["outcome"], "done");
    EXPECT_EQ(ask(1, "after1", "letter")["outcome"], "done");
    EXPECT_EQ(incarnations(), start + 2);
}
