#include "platform_model/model_gateway.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <sstream>

namespace oakpier::serving::model {

namespace {

constexpr mode_t kOwnerOnly = 0600;
constexpr rlim_t kFewDescriptors = 128;
constexpr std::size_t kReportedLines = 5;

int holdAddress(const Endpoint& address) {
  const int holder = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  constexpr int kEnabled = 1;
  setsockopt(holder, SOL_SOCKET, SO_REUSEADDR, &kEnabled, sizeof(kEnabled));
  sockaddr_in bound{};
  bound.sin_family = AF_INET;
  bound.sin_port = htons(address.port());
  inet_pton(AF_INET, address.ip().c_str(), &bound.sin_addr);
  if (bind(holder, reinterpret_cast<sockaddr*>(&bound), sizeof(bound)) != 0 || listen(holder, 1) != 0) {
    close(holder);
    return -1;
  }
  return holder;
}

void closeIfOpen(int& descriptor) {
  if (descriptor >= 0) {
    close(descriptor);
  }
  descriptor = -1;
}

std::string contentOf(const std::string& path) {
  std::stringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

std::string lastLines(const std::string& path) {
  std::ifstream file(path);
  std::deque<std::string> lines;
  for (std::string line; std::getline(file, line);) {
    lines.push_back(line);
    if (lines.size() > kReportedLines) {
      lines.pop_front();
    }
  }
  std::string text;
  for (const std::string& line : lines) {
    text += "\n    " + line;
  }
  return text;
}

}  // namespace

ModelGateway::~ModelGateway() {
  closeIfOpen(stalledPipe_);
  closeIfOpen(heldAddress_);
}

void ModelGateway::start(const std::string& program, const std::string& folder, bool stalledOutput) {
  answered = false;
  endReported_ = false;
  const std::optional<ProcessFaultKind> fault = nextStart;
  nextStart.reset();
  if (fault == ProcessFaultKind::kAddressTaken) {
    heldAddress_ = holdAddress(callerAddress);
  } else if (fault == ProcessFaultKind::kSettingsIncomplete) {
    completeSettings_ = contentOf(settingsFile);
    std::ofstream(settingsFile) << completeSettings_.substr(0, completeSettings_.size() / 2);
  }
  int reader = -1;
  std::string output = outputFile(folder);
  if (stalledOutput) {
    output = stalledPipe(folder);
  } else if (fault == ProcessFaultKind::kLogReaderGone) {
    output = folder + "/" + name + ".unread";
    mkfifo(output.c_str(), kOwnerOnly);
    reader = open(output.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC);
  }
  constexpr int kReplace = 1;
  setenv("OAKPIER_BOOT", settingsFile.c_str(), kReplace);
  process = std::make_unique<Process>(program, std::vector<std::string>{}, output);
  if (fault == ProcessFaultKind::kFewDescriptors) {
    const rlimit limit{kFewDescriptors, kFewDescriptors};
    prlimit(process->id(), RLIMIT_NOFILE, &limit, nullptr);
  }
  closeIfOpen(reader);
}

void ModelGateway::endStartFault() {
  closeIfOpen(heldAddress_);
  if (!completeSettings_.empty()) {
    std::ofstream(settingsFile) << completeSettings_;
    completeSettings_.clear();
  }
}

std::string ModelGateway::stalledPipe(const std::string& folder) {
  std::string path = folder + "/" + name + ".pipe";
  mkfifo(path.c_str(), kOwnerOnly);
  closeIfOpen(stalledPipe_);
  stalledPipe_ = open(path.c_str(), O_RDWR | O_NONBLOCK);
  const char filler = '\n';
  while (write(stalledPipe_, &filler, 1) == 1) {
  }
  return path;
}

std::optional<std::string> ModelGateway::unexpectedEnd(const std::string& folder) {
  if (process == nullptr || endReported_) {
    return std::nullopt;
  }
  const std::optional<std::string> end = process->endedWithoutOrder(!answered);
  if (!end) {
    return std::nullopt;
  }
  endReported_ = true;
  return name + " exited unexpectedly: " + *end + lastLines(outputFile(folder));
}

}  // namespace oakpier::serving::model
