#include "operatortool/internal/jsonplaces.h"

#include <gtest/gtest.h>

using namespace lavendertally::operatortool;

/// A report that points at another entry than the one it names.
TEST(JsonPlacesTest, EntriesAreFoundByTheirPaths)
{
    const JsonPlaces places(
        "{\"a\": 1,\n \"list\":[{\"x\":\"}],\\\"\"}, {\"x\" :[true, -2.5e3]}],\n"
        "\"\xc3\xa4\":{}, \"z\":null}");
    EXPECT_EQ(places.find("a"), (TextPosition{1, 2}));
    EXPECT_EQ(places.find("list"), (TextPosition{2, 2}));
    EXPECT_EQ(places.find("list[0].x"), (TextPosition{2, 11}));
    EXPECT_EQ(places.find("list[1]"), (TextPosition{2, 25}));
    EXPECT_EQ(places.find("list[1].x[1]"), (TextPosition{2, 38}));
    EXPECT_EQ(places.find("z"), (TextPosition{3, 9})) << "columns count characters";
}

TEST(JsonPlacesTest, MissingEntryIsPlacedAtWhatContainsIt)
{
    const JsonPlaces places("{\"a\":\n[\n{\"b\":1}]}");
    EXPECT_EQ(places.find("a[0].missing.deeper"), (TextPosition{3, 1}));
    EXPECT_EQ(places.find("a[7]"), (TextPosition{1, 2}));
    EXPECT_EQ(places.find(""), (TextPosition{1, 1}));
}

TEST(JsonPlacesTest, EqualNamesInOneObjectAreFound)
{
    const JsonPlaces places(R"({"a":{"x":1,"x":2},"b":[{"x":1},{"x":1}],"c":{"x":"x","y":"x"}})");
    EXPECT_EQ(places.duplicates(), (std::vector<std::string>{"a.x"}));
}

/// A crash on text that is no JSON, or nested too deep for a recursive scan.
TEST(JsonPlacesTest, AnyTextIsScanned)
{
    for (const char *text : {"", "\"", "{\"a", "]]}}", "{\"a\":\"\\", "[1,,2", ":,", "\\"}) {
        EXPECT_EQ(JsonPlaces(text).find("a.b").line, 1) << text;
    }
    const std::string deep(300, '[');
    EXPECT_EQ(JsonPlaces(deep).find("x"), (TextPosition{1, 1}));
}
