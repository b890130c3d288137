/** HTTP as clients, trainers and operators of the platform speak it: one request on a new connection. */
import { request } from "node:http";

function sleep(timeMs) {
  return new Promise((resolve) => setTimeout(resolve, timeMs));
}

/** Sends a request; resolves with status 0 if there is no whole answer in time. */
function ask(address, call) {
  const {
    method = "GET",
    path,
    headers = {},
    body = "",
    timeoutMs = 4_000,
  } = call;
  return new Promise((resolve) => {
    const none = (why) => resolve({ status: 0, headers: {}, text: "", why });
    const sent = request({
      host: address.host,
      port: address.port,
      method,
      path,
      agent: false,
      headers: method === "GET"
        ? headers
        : { "Content-Length": Buffer.byteLength(body), ...headers },
    }, (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", () => {});
      response.on("close", () => {
        if (!response.complete) return none("cut");
        resolve({
          status: response.statusCode,
          headers: response.headers,
          text: Buffer.concat(chunks).toString(),
        });
      });
    });
    const timer = setTimeout(() => sent.destroy(new Error("late")), timeoutMs);
    sent.on("error", (error) => none(error.message));
    sent.on("close", () => clearTimeout(timer));
    sent.end(method === "GET" ? undefined : body);
  });
}

export { ask, sleep };
