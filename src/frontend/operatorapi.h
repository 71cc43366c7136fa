#pragma once

#include "frontend/ihttpapi.h"

#include <memory>
#include <string>

namespace lavendertally::configuration {
class IConfigurationParser;
class IConfigurationReplica;
class IControlRecordCodec;
struct OperatorChange;
} // namespace lavendertally::configuration

namespace lavendertally::control {
class IOperatorService;
class IRevisionReports;
} // namespace lavendertally::control

namespace lavendertally::frontend {

/// HTTP API for operators, under `/v1/operator/`: `POST changes`, `GET revision`,
/// `GET status`. See docs/OPERATORS.md.
class OperatorApi final : public IHttpApi
{
public:
    /// The arguments outlive this object.
    OperatorApi(const configuration::IConfigurationReplica &replica,
                control::IOperatorService &operators, const control::IRevisionReports &reports);
    ~OperatorApi() override;

    bool handle(const std::shared_ptr<http::IHttpExchange> &exchange) override;

private:
    void handleChange(const std::shared_ptr<http::IHttpExchange> &exchange);
    /// Validates each file of a change on its own; replies with the diagnostics if one is invalid.
    /// \return whether all files are valid
    bool checkFiles(http::IHttpExchange &exchange,
                    const configuration::OperatorChange &change) const;
    /// Replies with the verdict if it is known, otherwise submits the change and replies later.
    void submit(const std::shared_ptr<http::IHttpExchange> &exchange,
                const configuration::OperatorChange &change);

    const configuration::IConfigurationReplica &m_replica;
    control::IOperatorService &m_operators;
    const control::IRevisionReports &m_reports;
    std::unique_ptr<configuration::IControlRecordCodec> m_codec;
    std::unique_ptr<configuration::IConfigurationParser> m_parser;
};

} // namespace lavendertally::frontend
