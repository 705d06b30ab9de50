#include "net/blocking_stream.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace magpie {
namespace {

bool WouldBlock(int error) { return error == EAGAIN || error == EWOULDBLOCK; }

}  // namespace

void BlockingStream::StartMessage() {
  ReleasePending();
  message_.bytes = 0;
}

bool BlockingStream::WaitForMessage() {
  StartMessage();
  return has_buffered_input() || FillInput();
}

bool BlockingStream::Flush() {
  std::size_t sent = 0;
  while (sent < output_.size()) {
    const ssize_t count =
        send(socket_, output_.data() + sent, output_.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0 && WouldBlock(errno)) {
      if (!WaitUntilWritable()) {
        timed_out_ = true;
        return false;
      }
      continue;
    }
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  output_.clear();
  return true;
}

ssize_t BlockingStream::read(char* data, std::size_t size) {
  if (!has_buffered_input() && !FillInput()) {
    truncated_ = true;
    return -1;
  }
  const std::size_t count = std::min(size, input_.end - input_.begin);
  std::memcpy(data, input_.bytes.data() + input_.begin, count);
  input_.begin += count;
  return static_cast<ssize_t>(count);
}

ssize_t BlockingStream::write(const char* data, std::size_t size) {
  output_.append(data, size);
  return static_cast<ssize_t>(size);
}

void BlockingStream::get_remote_ip_and_port(std::string& ip, int& port) const {
  ip.clear();
  port = 0;
}

void BlockingStream::get_local_ip_and_port(std::string& ip, int& port) const {
  ip.clear();
  port = 0;
}

bool BlockingStream::WaitUntilWritable() const {
  pollfd descriptor{socket_, POLLOUT, 0};
  return poll(&descriptor, 1, static_cast<int>(limits_.send_timeout.value * 1000)) > 0;
}

// The first call starts the timer. Small messages arrive in one read and skip this check, which
// saves reading the clock.
bool BlockingStream::WithinReceiveTimeout() {
  if (limits_.receive_timeout.value <= 0) return true;
  const auto now = std::chrono::steady_clock::now();
  if (!message_.start) message_.start = now;
  return std::chrono::duration<double>(now - *message_.start).count() <
         limits_.receive_timeout.value;
}

bool BlockingStream::AddPending(std::size_t bytes) {
  if (limits_.pending_bytes == nullptr) return true;
  message_.pending_bytes += bytes;
  return limits_.pending_bytes->fetch_add(bytes) + bytes <= limits_.max_pending_bytes;
}

void BlockingStream::ReleasePending() {
  if (message_.pending_bytes > 0) limits_.pending_bytes->fetch_sub(message_.pending_bytes);
  message_.pending_bytes = 0;
  message_.start.reset();
}

bool BlockingStream::WithinLimits() {
  // cpp-httplib limits only bodies with a Content-Length, not chunked ones.
  if (message_.bytes > limits_.message_bytes) return false;
  return message_.bytes == 0 || (WithinReceiveTimeout() && AddPending(input_.bytes.size()));
}

bool BlockingStream::FillInput() {
  if (!output_.empty() && !Flush()) return false;
  if (!WithinLimits()) return false;
  ssize_t count = 0;
  do count = recv(socket_, input_.bytes.data(), input_.bytes.size(), 0);
  while (count < 0 && errno == EINTR);
  if (count <= 0) {
    timed_out_ = count < 0 && WouldBlock(errno);
    return false;
  }
  input_.begin = 0;
  input_.end = static_cast<std::size_t>(count);
  message_.bytes += input_.end;
  return true;
}

}  // namespace magpie
