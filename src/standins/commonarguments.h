#pragma once

namespace lavendertally::standins {

class StandInProgram;
struct ColdStartOptions;
struct ServiceOptions;

/// Options of the command line that several stand-ins have.
class CommonArguments
{
public:
    static void addColdStart(StandInProgram &program, ColdStartOptions &options);
    static void addService(StandInProgram &program, ServiceOptions &options);
};

} // namespace lavendertally::standins
