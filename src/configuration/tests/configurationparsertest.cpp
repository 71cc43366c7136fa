#include "configuration/tests/parserfixture.h"

#include <gtest/gtest.h>

using namespace lavendertally;
using namespace lavendertally::configuration;

namespace {

const std::string Services = R"(availability_zones: [z1, z2]
services:
  - {name: enc, kind: encode, concurrency: 4, cost_per_hour: 1}
  - {name: gen, kind: generate, model: org/m:7b, concurrency: 4, cost_per_hour: 2.5}
  - {name: act, kind: action, concurrency: 1, cost_per_hour: 0.000001}
)";

struct BadFile
{
    std::string name;
    std::string text;
    int line;
    int column;
    std::string key;
    std::string expected;
};

void PrintTo(const BadFile &file, std::ostream *stream)
{
    *stream << file.name;
}

std::string pipeline(const std::string &stages, const std::string &keys = "deadline: 4s")
{
    return "pipelines:\n  - name: p\n    " + keys + "\n    stages:\n" + stages;
}

std::string service(const std::string &keys)
{
    return "services:\n  - {name: s, kind: encode, " + keys + "}\n";
}

std::string randomBytes(std::size_t size)
{
    std::string text;
    std::uint64_t state = 42;
    while (text.size() < size) {
        state = state * 6364136223846793005ULL + 1442695040888963407ULL;
        text.push_back(static_cast<char>(state >> 56));
    }
    return text;
}

std::string randomPrintableText(std::size_t size)
{
    std::string text = randomBytes(size);
    for (char &c : text) {
        c = static_cast<char>(' ' + static_cast<unsigned char>(c) % 95);
    }
    return text;
}

std::string repeated(const std::string &part, std::size_t times)
{
    std::string text;
    for (std::size_t i = 0; i < times; ++i) {
        text += part;
    }
    return text;
}

constexpr std::size_t Megabyte = 1024 * 1024;

const BadFile BadFiles[] = {
    {"Empty", "", 1, 1, "", "empty"},
    {"OnlyComment", "# nothing\n", 1, 1, "", "empty"},
    {"Scalar", "hello", 1, 1, "", "a mapping"},
    {"Sequence", "- a\n- b\n", 1, 1, "", "a mapping"},
    {"RandomBytes", randomBytes(Megabyte), 1, 1, "", "UTF-8"},
    {"RandomPrintableText", randomPrintableText(Megabyte), 1, 0, "", "valid YAML"},
    {"LargerThanOneMegabyte", "# " + std::string(Megabyte, 'x'), 1, 1, "", "at most 1MB"},
    {"ControlCharacter", "teams:\n  - {name: \x01}\n", 2, 12, "", "control characters"},
    {"DeepFlow", "teams: " + repeated("[", 100000), 1, 0, "", "valid YAML"},
    {"DeepBlock", "teams: \n" + repeated("- ", 100000), 2, 0, "", "valid YAML"},
    {"DeepMapping", repeated("{a: ", 100000), 1, 0, "", "valid YAML"},
    {"DeepButBalanced", "teams: [[[[{name: a}]]]]\n", 1, 9, "teams[0]", "a mapping"},
    {"TwoDocuments", "teams: [{name: a}]\n---\nteams: [{name: b}]\n", 3, 1, "",
     "one YAML document"},
    {"BrokenYaml", "teams:\n  - {name: a\n", 3, 1, "", "valid YAML"},
    {"UnknownTopLevelKey", "team: []\n", 1, 1, "team", "one of the keys availability_zones"},
    {"UnknownNestedKey", "teams:\n  - {name: a, shares: 2}\n", 2, 15, "teams[0].shares", "share"},
    {"DuplicateKey", "teams: [{name: a}]\nteams: [{name: b}]\n", 2, 1, "teams", "at most once"},
    {"DuplicateNestedKey", "teams:\n  - {name: a, name: b}\n", 2, 15, "teams[0].name",
     "at most once"},
    {"MergeKey", "teams:\n  - {<<: {share: 2}, name: a}\n", 2, 6, "teams[0].<<", "one of the keys"},
    {"MissingName", "teams:\n  - {share: 2}\n", 2, 5, "teams[0].name", "missing"},
    {"BadName", "teams:\n  - {name: a b}\n", 2, 12, "teams[0].name", "a name"},
    {"NullValue", "teams:\n  - name:\n", 2, 5, "teams[0].name", "a name"},
    {"NegativeShare", "teams:\n  - {name: a, share: -1}\n", 2, 22, "teams[0].share", "from 1"},
    {"ZeroShare", "teams:\n  - {name: a, share: 0}\n", 2, 22, "teams[0].share", "from 1"},
    {"ListAsScalar", "teams: a\n", 1, 8, "teams", "a list"},
    {"NoZones", "availability_zones: []\n", 1, 21, "availability_zones", "at least one"},
    {"BadObjective", "objective: speed\n", 1, 12, "objective", "attainment cost"},
    {"ZeroConcurrency", service("concurrency: 0, cost_per_hour: 1"), 2, 42,
     "services[0].concurrency", "from 1"},
    {"ColdAboveWarm", service("concurrency: 2, cold_concurrency: 3, cost_per_hour: 1"), 2, 63,
     "services[0].cold_concurrency", "at most the concurrency"},
    {"CostWithUnit", service("concurrency: 1, cost_per_hour: 1EUR"), 2, 60,
     "services[0].cost_per_hour", "a decimal"},
    {"CostTooPrecise", service("concurrency: 1, cost_per_hour: 0.0000001"), 2, 60,
     "services[0].cost_per_hour", "six digits"},
    {"NegativeCost", service("concurrency: 1, cost_per_hour: -1"), 2, 60,
     "services[0].cost_per_hour", "at least zero"},
    {"BadKind", "services:\n  - {name: s, kind: pool, concurrency: 1, cost_per_hour: 1}\n", 2, 21,
     "services[0].kind", "one of encode retrieve"},
    {"GenerateWithoutModel",
     "services:\n  - {name: s, kind: generate, concurrency: 1, cost_per_hour: 1}\n", 2, 5,
     "services[0].model", "the model"},
    {"DeadlineZero", pipeline("      - {name: a, service: enc}\n", "deadline: 0s"), 3, 15,
     "pipelines[0].deadline", "above zero"},
    {"DeadlineWithoutUnit", pipeline("      - {name: a, service: enc}\n", "deadline: 400"), 3, 15,
     "pipelines[0].deadline", "unit ms, s, m or h"},
    {"DeadlineInBytes", pipeline("      - {name: a, service: enc}\n", "deadline: 4MB"), 3, 15,
     "pipelines[0].deadline", "unit ms, s, m or h"},
    {"DeadlineOverflow",
     pipeline("      - {name: a, service: enc}\n", "deadline: 99999999999999999999h"), 3, 15,
     "pipelines[0].deadline", "at most 720h"},
    {"BadPriority",
     pipeline("      - {name: a, service: enc}\n", "deadline: 4s\n    priority: high"), 4, 15,
     "pipelines[0].priority", "interactive"},
    {"NoStages", "pipelines:\n  - {name: p, deadline: 4s, stages: []}\n", 2, 37,
     "pipelines[0].stages", "1 to 32 stages"},
    {"MissingService", pipeline("      - {name: a, service: nowhere}\n"), 5, 28,
     "pipelines[0].stages[0].service", "'nowhere' is not one"},
    {"DuplicateStage",
     pipeline("      - {name: a, service: enc}\n      - {name: a, service: enc}\n"), 6, 9,
     "pipelines[0].stages[1].name", "no other stage"},
    {"AfterMissingStage", pipeline("      - {name: a, service: enc, after: [b]}\n"), 5, 9,
     "pipelines[0].stages[0].after", "'b' is not one"},
    {"AfterItself", pipeline("      - {name: a, service: enc, after: [a]}\n"), 5, 9,
     "pipelines[0].stages[0].after", "in a cycle"},
    {"StageCycle",
     pipeline("      - {name: a, service: enc}\n"
              "      - {name: b, service: enc, after: [a, c]}\n"
              "      - {name: c, service: enc, after: [b]}\n"),
     6, 9, "pipelines[0].stages[1].after", "in a cycle"},
    {"ActionWithoutIdempotent", pipeline("      - {name: a, service: act}\n"), 5, 28,
     "pipelines[0].stages[0].service", "idempotent"},
    {"GenerateWithoutMaxTokens", pipeline("      - {name: a, service: gen}\n"), 5, 28,
     "pipelines[0].stages[0].service", "max_tokens"},
    {"MaxTokensForEncode", pipeline("      - {name: a, service: enc, max_tokens: 5}\n"), 5, 28,
     "pipelines[0].stages[0].service", "no max_tokens"},
    {"IdempotentNotBoolean", pipeline("      - {name: a, service: act, idempotent: no}\n"), 5, 45,
     "pipelines[0].stages[0].idempotent", "true false"},
    {"TeamDeclaredTwice", "teams: [{name: a}, {name: a}]\n", 1, 27, "teams[1].name",
     "declared once"},
    {"ZoneDeclaredInAnotherFile", "availability_zones: [z3, z1]\n", 1, 26, "availability_zones[1]",
     "declared once"},
};

} // namespace

class BadConfiguration : public testing::TestWithParam<BadFile>
{ };

TEST_P(BadConfiguration, InvalidFile_IsRejectedWithPositionKeyAndExpectation)
{
    const BadFile &bad = GetParam();
    const auto parser = ConfigurationModule::makeParser();
    const FileDiagnostics found = diagnosticsOf([&] {
        return parser->parse({{"a.yaml", Services}, {"b.yaml", bad.text}});
    });
    ASSERT_FALSE(found.entries.empty());
    const FileDiagnostic &first = found.entries.front();
    EXPECT_EQ(first.file, "b.yaml");
    EXPECT_EQ(first.line, bad.line) << first.toString();
    // Zero skips the check: the column of a syntax error is up to yaml-cpp.
    if (bad.column != 0) {
        EXPECT_EQ(first.column, bad.column) << first.toString();
    }
    EXPECT_EQ(first.key, bad.key) << first.toString();
    EXPECT_NE(first.expected.find(bad.expected), std::string::npos) << first.toString();
}

INSTANTIATE_TEST_SUITE_P(Files, BadConfiguration, testing::ValuesIn(BadFiles),
                         [](const auto &info) { return info.param.name; });

TEST(ConfigurationParser, SeveralFiles_AreMergedAndStagesSortedTopologically)
{
    const auto parser = ConfigurationModule::makeParser();
    const std::string text =
        pipeline("      - {name: c, service: gen, after: [a, b], max_tokens: 9}\n"
                 "      - {name: b, service: enc, after: [a]}\n"
                 "      - {name: a, service: act, idempotent: false}\n",
                 "deadline: 2m");
    const Configuration merged = parser->parse({{"a.yaml", Services}, {"b.yaml", text}}).value();
    EXPECT_EQ(merged.zones.size(), 2U);
    const Service &generator = merged.services.at(framework::ServiceId("gen"));
    EXPECT_EQ(generator.model, framework::ModelId("org/m:7b"));
    EXPECT_EQ(generator.costPerHour, framework::MicroCost(2500000));
    const Pipeline &read = merged.pipelines.at(framework::PipelineId("p"));
    EXPECT_EQ(read.deadline, framework::Milliseconds(120000));
    ASSERT_EQ(read.stages.size(), 3U);
    EXPECT_EQ(read.stages[0].id, framework::StageId("a"));
    EXPECT_FALSE(read.stages[0].idempotent);
    EXPECT_EQ(read.stages[1].id, framework::StageId("b"));
    EXPECT_EQ(read.stages[2].maxTokens, framework::TokenCount(9));
}

TEST(ConfigurationParser, ReferenceToUndeclaredService_IsAcceptedWhenFileIsCheckedAlone)
{
    const auto parser = ConfigurationModule::makeParser();
    const std::string text = pipeline("      - {name: a, service: elsewhere}\n");
    EXPECT_TRUE(diagnosticsOf([&] {
                    return parser->checkEachFile({{"p.yaml", text}});
                }).entries.empty());
    EXPECT_FALSE(diagnosticsOf([&] { return parser->parse({{"p.yaml", text}}); }).entries.empty());
}

TEST(ConfigurationParser, SampleConfigurations_AreValidAndDeclareAllObjects)
{
    const auto parser = ConfigurationModule::makeParser();
    for (const std::string sample : {"alfold", "caddo"}) {
        const auto files = sampleFiles(sample);
        const FileDiagnostics found = diagnosticsOf([&] { return parser->parse(files); });
        ASSERT_TRUE(found.entries.empty()) << found.entries.front().toString();
        const Configuration read = parser->parse(files).value();
        EXPECT_EQ(read.zones.size(), 4U);
        EXPECT_EQ(read.services.size(), 5U);
        EXPECT_EQ(read.pipelines.size(), 5U);
        EXPECT_EQ(read.teams.size(), 5U);
    }
}
