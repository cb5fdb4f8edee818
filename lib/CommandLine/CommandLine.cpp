#include "egretturn/CommandLine/CommandLine.h"

#include <charconv>
#include <iostream>
#include <string_view>
#include <vector>

namespace egretturn {

tl::expected<Arguments, int>
ParseCommandLine(const char* aUsage, int aCount, char** aArguments)
{
  try {
    return docopt::docopt_parse(
      aUsage, std::vector<std::string>(aArguments + 1, aArguments + aCount), true, true);
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << aUsage;
    return tl::unexpected<int>(EXIT_SUCCESS);
  } catch (const docopt::DocoptExitVersion&) {
    std::cout << EGRETTURN_VERSION << '\n';
    return tl::unexpected<int>(EXIT_SUCCESS);
  } catch (const std::exception& error) {
    const std::string_view usage(aUsage);
    std::cerr << "error: " << error.what() << "\nremedy: see " << usage.substr(0, usage.find(':'))
              << " --help\n";
    return tl::unexpected<int>(kExitUsage);
  }
}

Expected<double>
ParseNumberOption(const Arguments& aArguments, const std::string& aName)
{
  const std::string text = aArguments.at(aName).asString();
  double number = 0;
  const std::from_chars_result result =
    std::from_chars(text.data(), text.data() + text.size(), number);
  const bool complete = result.ec == std::errc() && result.ptr == text.data() + text.size();
  if (!complete || !(number >= 0)) {
    return Fail(
      ErrorKind::BadInput, aName + "=" + text + " is not a number", "use a number of 0 or more");
  }
  return number;
}

int
ReportUsageError(const Error& aError)
{
  std::cerr << "error: " << aError.m_message << "\nremedy: " << aError.m_remedy << '\n';
  return kExitUsage;
}

} // namespace egretturn
